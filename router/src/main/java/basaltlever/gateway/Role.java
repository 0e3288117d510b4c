package basaltlever.gateway;

/** The role that an endpoint reports. */
public enum Role {
  UNKNOWN,
  PRIMARY,
  REPLICA
}
