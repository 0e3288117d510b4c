package basaltlever.gateway;

/** What a member says it is. */
public enum Role {
  UNKNOWN,
  PRIMARY,
  REPLICA
}
