package basaltlever.view;

/** A node by the name and address that the member list gave it, and what was learned of it. */
public record Known(String id, String address, NodeView view) {}
