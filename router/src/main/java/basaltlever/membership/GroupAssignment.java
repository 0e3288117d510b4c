package basaltlever.membership;

/**
 * The group in which a member is used, as the voters agreed. To which group a member belongs is
 * exclusive: there is no stricter of two sides but neither, so until a move is cleared no router
 * uses the member.
 *
 * @param at stamp of the list that said so
 * @param cleared every router has let go of it in its former group, or can't act any more; so from
 *     the first where there was none
 */
public record GroupAssignment(String member, int group, ListVersion at, boolean cleared) {}
