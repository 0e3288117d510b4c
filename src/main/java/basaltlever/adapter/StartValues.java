package basaltlever.adapter;

import basaltlever.gateway.Allowance;
import basaltlever.gateway.Connections;
import basaltlever.gateway.Drains;
import basaltlever.gateway.Replication;
import basaltlever.gateway.Standing;
import basaltlever.gateway.WarmUp;
import basaltlever.gateway.Workload;
import basaltlever.time.Span;
import java.util.HashMap;
import java.util.Map;

/** Reads the wire's path=value lines into the start values of the gateway. */
final class StartValues {
    private final Map<String, String> lines = new HashMap<>();

    StartValues(String text) {
        for (String line : text.split("\n")) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                lines.put(line.substring(0, equals).trim(), line.substring(equals + 1).trim());
            }
        }
    }

    long origin() throws WireFault {
        return lines.containsKey("FamilyInfo.OriginTime") ? (long) number("FamilyInfo.OriginTime") : 0;
    }

    /** Where a report of a poll holds the named value, or -1. */
    int field(String name) {
        String[] fields = lines.getOrDefault("Reporting.Fields", "").split(",");
        for (int i = 0; i < fields.length; i++) {
            if (fields[i].equals(name)) {
                return i;
            }
        }
        return -1;
    }

    Standing standing() throws WireFault {
        return new Standing((int) number("Balancers"), (int) number("Zone"), number("Costs.Probe", 0),
            number("Costs.CrossZone", 0));
    }

    Replication replication() throws WireFault {
        String checks = text("FamilyInfo.Checks");
        return new Replication(!checks.equals("none"), flag("FamilyInfo.ProgressTold", false),
            text("FamilyInfo.SessionMarks").equals("carried"));
    }

    Drains drains() throws WireFault {
        boolean asked = text("Discovery").equals("on_request");
        return new Drains(asked, asked ? span("Rules.MustAskIn") : Span.NONE,
            !flag("Rules.RemovalNotBinding", false));
    }

    WarmUp warmUp() throws WireFault {
        return new WarmUp(number("Rules.ColdFrom"), span("Rules.Cold"), number("Rules.FallMultiple"),
            span("Rules.Fall"));
    }

    Allowance allowance() throws WireFault {
        return new Allowance((int) number("Bounds.MaxAttempts"), flag("Bounds.MayDuplicate", false),
            flag("Bounds.Cancel", false), flag("Bounds.MayProbe", false),
            flag("Bounds.RetryAfter", false) ? span("Bounds.MaxRetryAfter") : Span.NONE,
            span("Rules.AnswerSlack"));
    }

    Connections connections() throws WireFault {
        return new Connections((int) number("Bounds.StreamsPerConn", 1),
            new Span((long) number("Bounds.IdleClose", 0)));
    }

    Workload[] workloads() throws WireFault {
        int count = (int) number("Classes.count");
        String[] needs = text("FamilyInfo.ClassRead").split(",");
        String[] bounds = lines.getOrDefault("FamilyInfo.LagAllowed", "").split(",");
        Workload[] workloads = new Workload[count];
        for (int i = 0; i < count; i++) {
            String path = "Classes." + i + ".";
            if (i >= needs.length) {
                throw new WireFault("setting FamilyInfo.ClassRead does not name class " + i);
            }
            Workload.Needs need = choose("FamilyInfo.ClassRead", needs[i], Workload.Needs.values());
            long bound = 0;
            if (need == Workload.Needs.BOUNDED) {
                bound = i < bounds.length ? (long) parse("FamilyInfo.LagAllowed", bounds[i]) : -1;
                if (bound < 0) {
                    throw new WireFault("setting FamilyInfo.LagAllowed gives no bound for class " + i);
                }
            }
            Workload.Repeat repeat = switch (text(path + "Repeat")) {
                case "idempotent" -> Workload.Repeat.IDEMPOTENT;
                case "deduplicated" -> Workload.Repeat.DEDUPLICATED;
                case "at_most_once" -> Workload.Repeat.NON_IDEMPOTENT;
                default -> throw new WireFault("setting " + path + "Repeat can't be read: "
                    + text(path + "Repeat"));
            };
            Workload.Within within = switch (lines.getOrDefault(path + "Group", "cell")) {
                case "all" -> Workload.Within.ALL;
                case "zone" -> Workload.Within.ZONE;
                default -> Workload.Within.GROUP;
            };
            workloads[i] = new Workload(need, new Span(bound), repeat, within,
                repeat == Workload.Repeat.DEDUPLICATED ? span(path + "Window") : Span.NONE,
                span(path + "Slo"),
                span(path + "HardLimit"), number(path + "Worth"), number(path + "LateWorth", 0));
        }
        return workloads;
    }

    private static <E extends Enum<E>> E choose(String path, String value, E[] among) throws WireFault {
        for (E one : among) {
            if (one.name().equalsIgnoreCase(value)) {
                return one;
            }
        }
        throw new WireFault("setting " + path + " can't be read: " + value);
    }

    private String text(String path) throws WireFault {
        String value = lines.get(path);
        if (value == null) {
            throw new WireFault("setting " + path + " is missing");
        }
        return value;
    }

    private double number(String path) throws WireFault {
        return parse(path, text(path));
    }

    private double number(String path, double otherwise) throws WireFault {
        return lines.containsKey(path) ? number(path) : otherwise;
    }

    private boolean flag(String path, boolean otherwise) {
        return lines.containsKey(path) ? lines.get(path).equals("true") : otherwise;
    }

    private Span span(String path) throws WireFault {
        return new Span((long) number(path));
    }

    private static double parse(String path, String value) throws WireFault {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Named below, together with values that are no finite number.
        }
        throw new WireFault("setting " + path + " can't be read: " + value);
    }
}
