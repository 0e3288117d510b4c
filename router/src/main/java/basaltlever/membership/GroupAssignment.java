package basaltlever.membership;

/**
 * The group in which an endpoint is used, as the voters agreed. An endpoint belongs to a single
 * group, and neither of two groups is the stricter choice. While it changes groups no router uses
 * it, until the change is cleared.
 *
 * @param endpoint name of the endpoint
 * @param group group of the endpoint
 * @param listVersion version of the list that names this group
 * @param cleared whether every router has stopped using the endpoint in its former group or can no
 *     longer act; true from the start if there was no former group
 */
public record GroupAssignment(
    String endpoint, int group, ListVersion listVersion, boolean cleared) {}
