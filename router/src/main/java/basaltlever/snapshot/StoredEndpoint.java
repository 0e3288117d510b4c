package basaltlever.snapshot;

/**
 * An endpoint with what was learned of it.
 *
 * @param id its name in the endpoint list
 * @param address its address in the endpoint list
 * @param state what was learned
 */
public record StoredEndpoint(String id, String address, EndpointState state) {}
