package basaltlever.model;

import basaltlever.gateway.EndpointLifecycle;
import basaltlever.time.Moment;

/**
 * A database server in the endpoint list, with the state that this router has collected about it.
 */
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

  /**
   * Creates an endpoint that is not yet listed, with the number of attempts it may have in flight.
   */
  public Endpoint(int id, double capacity) {
    this.id = id;
    ringOrder = id;
    load = new LoadState(capacity);
  }

  /** Returns the index that the caller assigned to the endpoint. */
  public int id() {
    return id;
  }

  /** Returns the group that the endpoint belongs to. */
  public ReplicaGroup group() {
    return group;
  }

  /** Assigns the endpoint to a group; the caller updates the list of endpoints in the group. */
  public void assignTo(ReplicaGroup newGroup) {
    group = newGroup;
  }

  /** Records the endpoint's entry in the endpoint list. */
  public void updateListing(int listedZone, double listedSize, Moment startedAt, int generation) {
    zone = listedZone;
    relativeSize = listedSize;
    listedStart = startedAt;
    listGeneration = generation;
  }

  /** Returns the zone that the endpoint runs in. */
  public int zone() {
    return zone;
  }

  /** Returns the capacity relative to other endpoints. */
  public double relativeSize() {
    return relativeSize;
  }

  /** Returns the start time according to the endpoint list. */
  public Moment listedStart() {
    return listedStart;
  }

  /** Returns the generation of the latest endpoint list that contains the endpoint. */
  public int listGeneration() {
    return listGeneration;
  }

  /** Returns the state in the endpoint list. */
  public EndpointLifecycle lifecycle() {
    return lifecycle;
  }

  /** Sets the state in the endpoint list. */
  public void setLifecycle(EndpointLifecycle state) {
    lifecycle = state;
  }

  /** Returns whether the endpoint was listed as draining before its removal. */
  public boolean wasDraining() {
    return wasDraining;
  }

  /** Sets whether the endpoint was listed as draining. */
  public void setWasDraining(boolean draining) {
    wasDraining = draining;
  }

  /**
   * Returns the position in the order of the group's endpoints, which is the same on all routers.
   */
  public int ringOrder() {
    return ringOrder;
  }

  /** Sets the position in the order of the group's endpoints. */
  public void setRingOrder(int order) {
    ringOrder = order;
  }

  /** Returns whether the endpoint list has the endpoint in service. */
  public boolean isInService() {
    return lifecycle == EndpointLifecycle.READY;
  }

  /** Returns whether this router has polled the endpoint or sent it a statement. */
  public boolean wasContacted() {
    return polling.sentAt().isAfter(Moment.LONG_AGO) || load.hasReceivedStatement();
  }

  /** Returns the state of its polls. */
  public PollState polling() {
    return polling;
  }

  /** Returns the reports about its role as primary. */
  public RoleReports roles() {
    return roles;
  }

  /** Returns its observed faults. */
  public HealthState health() {
    return health;
  }

  /** Returns the attempts in flight and the load. */
  public LoadState load() {
    return load;
  }

  /** Returns its position in the log and its lag. */
  public ReplicationState replication() {
    return replication;
  }

  /** Returns the state of its slow start. */
  public WarmUpState warmUp() {
    return warmUp;
  }
}
