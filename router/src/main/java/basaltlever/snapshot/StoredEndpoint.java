package basaltlever.snapshot;

/**
 * An endpoint with its learned state.
 *
 * @param id its name in the endpoint list
 * @param address its address in the endpoint list
 * @param state its learned state
 */
public record StoredEndpoint(String id, String address, EndpointState state) {}
