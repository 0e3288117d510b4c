package basaltlever.gateway;

/** What a member says it is. */
public enum Role {
  UNTOLD,
  PRIMARY,
  REPLICA
}
