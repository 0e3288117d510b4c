package basaltlever.lab.manyservers;

/** The classes of statements that the day's clients send, and the settings that tell routers of them. */
enum Workloads {
    VIEW("view", 0.45, 2_500, 60, true),
    OWN_READ("own", 0.40, 1_200, 30, true),
    POST("post", 0.15, 2_000, 60, false);

    /** How long a router may take to stop sending to a server after it was told that it drains. */
    static final long DRAIN_GRACE_MILLIS = 250;
    static final double COLD_FROM = 0.25;
    static final long COLD_MILLIS = 9_000;
    static final double FALL_MULTIPLE = 4;
    static final long FALL_MILLIS = 1_000;
    private static final int MICROS = 1_000;

    final String key;
    final double share;
    final long deadlineMillis;
    final double workMillis;
    final boolean repeatable;

    Workloads(String key, double share, long deadlineMillis, double workMillis, boolean repeatable) {
        this.key = key;
        this.share = share;
        this.deadlineMillis = deadlineMillis;
        this.workMillis = workMillis;
        this.repeatable = repeatable;
    }

    /** The settings object of a router's start file. */
    static String settings(int router, int routers) {
        return """
            {"Balancers":%d,"Me":%d,"Zone":%d,"Zones":["east","west"],"Discovery":"on_request",
             "Bounds":{"Cancel":true,"ConnectTimeout":250000,"IdleClose":15000000,"MaxAttempts":8,"MaxOpen":5000,
              "MaxRetryAfter":1000000,"MayDuplicate":true,"MayProbe":true,"RetryAfter":true,"StreamsPerConn":1},
             "Classes":[
              {"Name":"view","Repeat":"idempotent","Slo":600000,"HardLimit":%d,"Worth":1.0},
              {"Name":"own","Repeat":"idempotent","Slo":300000,"HardLimit":%d,"Worth":2.0},
              {"Name":"post","Repeat":"at_most_once","Slo":1000000,"HardLimit":%d,"Worth":4.0,"LateWorth":0.5}],
             "Costs":{"Probe":0.01,"CrossZone":0.02},
             "Reporting":{"How":"probe","Fields":["x0","x1","utilization"]},
             "FamilyInfo":{"Checks":"wait","ClassRead":["bounded","session","write"],"LagAllowed":[200000,0,0],
              "ProgressTold":true,"SessionMarks":"carried"},
             "Rules":{"AnswerSlack":20000,"Cold":%d,"ColdFrom":%s,"FallMultiple":%s,"Fall":%d,
              "DrainGrace":%d,"MustAskIn":10000000}}""".formatted(routers, router, router % 2,
            VIEW.deadlineMillis * MICROS, OWN_READ.deadlineMillis * MICROS, POST.deadlineMillis * MICROS,
            COLD_MILLIS * MICROS, COLD_FROM, FALL_MULTIPLE, FALL_MILLIS * MICROS, DRAIN_GRACE_MILLIS * MICROS);
    }
}
