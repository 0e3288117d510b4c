package basaltlever.snapshot;

/** A node by the name and address that the member list gave it, and what was learned of it. */
public record KnownEndpoint(String id, String address, EndpointState view) {}
