package basaltlever.model;

import basaltlever.gateway.EndpointLifecycle;
import basaltlever.time.Moment;

/** One database server as listed, with all that this router knows about it. */
public final class Endpoint {
  private final int id;
  private final PollState polling = new PollState();
  private final RoleReports roles = new RoleReports();
  private final HealthState health = new HealthState();
  private final LoadState load;
  private final ReplicationState replication = new ReplicationState();
  private final WarmUpState warmUp = new WarmUpState();

  private ReplicaGroup group;
  private int zone;
  private double relativeSize = 1;
  private EndpointLifecycle lifecycle = EndpointLifecycle.GONE;
  private boolean wasDraining;
  private int listGeneration;
  private Moment listedStart = Moment.LONG_AGO;
  private int ringOrder;

  /** An endpoint that is not yet listed, with the number of attempts it may have in flight. */
  public Endpoint(int id, double capacity) {
    this.id = id;
    ringOrder = id;
    load = new LoadState(capacity);
  }

  /** The index that the caller gave it. */
  public int id() {
    return id;
  }

  /** The group it belongs to. */
  public ReplicaGroup group() {
    return group;
  }

  /** Moves it to a group; the group's members are the caller's business. */
  public void assignTo(ReplicaGroup newGroup) {
    group = newGroup;
  }

  /** What the endpoint list says about it now. */
  public void updateListing(int listedZone, double listedSize, Moment startedAt, int generation) {
    zone = listedZone;
    relativeSize = listedSize;
    listedStart = startedAt;
    listGeneration = generation;
  }

  /** The zone it runs in. */
  public int zone() {
    return zone;
  }

  /** How much it can do, relative to other endpoints. */
  public double relativeSize() {
    return relativeSize;
  }

  /** When it started, according to the list. */
  public Moment listedStart() {
    return listedStart;
  }

  /** The latest endpoint list that named it. */
  public int listGeneration() {
    return listGeneration;
  }

  /** Its state in the endpoint list. */
  public EndpointLifecycle lifecycle() {
    return lifecycle;
  }

  /** Sets its state in the endpoint list. */
  public void setLifecycle(EndpointLifecycle state) {
    lifecycle = state;
  }

  /** Whether it was listed as draining before it went. */
  public boolean wasDraining() {
    return wasDraining;
  }

  /** Sets whether it was listed as draining. */
  public void setWasDraining(boolean draining) {
    wasDraining = draining;
  }

  /** The order of a group's members that is the same at all routers. */
  public int ringOrder() {
    return ringOrder;
  }

  /** Sets its place in the order of its group's members. */
  public void setRingOrder(int order) {
    ringOrder = order;
  }

  /** Whether the list has it in service. */
  public boolean isInService() {
    return lifecycle == EndpointLifecycle.READY;
  }

  /** Whether this router has polled it or sent it a statement. */
  public boolean wasContacted() {
    return polling.sentAt().isAfter(Moment.LONG_AGO) || load.hasReceivedStatement();
  }

  /** When it was and will be polled. */
  public PollState polling() {
    return polling;
  }

  /** What it reported about being primary. */
  public RoleReports roles() {
    return roles;
  }

  /** Its faults. */
  public HealthState health() {
    return health;
  }

  /** What is in flight there, and its load. */
  public LoadState load() {
    return load;
  }

  /** Its position in the log and its lag. */
  public ReplicationState replication() {
    return replication;
  }

  /** Its slow start. */
  public WarmUpState warmUp() {
    return warmUp;
  }
}
