package basaltlever.lab.endtoend;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The options of one day with many servers; every value is checked before anything is started. */
public record DayOptions(int servers, int routers, int members, double rate, double seconds, int sockets,
                         double drainShare, double removeShare, double coldShare, double cutShare,
                         double leaveShare, int restarts, int listPieceBytes, int listPieceMillis,
                         boolean listIndented, int discoveryCapacity, int wholeLists) {

    /** An option that can't be used; the message names the key, the value and what the key takes. */
    public static final class InvalidOption extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidOption(String message) {
            super(message);
        }
    }

    private record Option(double least, double most, double otherwise) { }

    private static final Map<String, Option> OPTIONS = options();

    private static Map<String, Option> options() {
        Map<String, Option> options = new LinkedHashMap<>();
        options.put("servers", new Option(2, 3_200, 120));
        options.put("routers", new Option(1, 200, 1));
        options.put("members", new Option(1, 400, 4));
        options.put("rate", new Option(0.1, 1_000, 30));
        options.put("seconds", new Option(1, 600, 16));
        options.put("sockets", new Option(64, 65_536, 600));
        options.put("drain_share", new Option(0, 1, 0.5));
        options.put("remove_share", new Option(0, 1, 0.5));
        options.put("cold_share", new Option(0, 1, 0));
        options.put("cut_share", new Option(0, 1, 0));
        options.put("leave_share", new Option(0, 1, 0.02));
        options.put("restarts", new Option(0, 200, 0));
        options.put("list_piece_bytes", new Option(1, 1 << 20, 1 << 16));
        options.put("list_piece_ms", new Option(0, 1_000, 0));
        options.put("list_indented", new Option(0, 1, 0));
        options.put("discovery_capacity", new Option(1, 1_000, 100));
        options.put("whole_lists", new Option(0, 100, 0));
        return options;
    }

    /** Reads KEY=VALUE pairs; keys that are not given have their defaults. */
    public static DayOptions parse(List<String> pairs) throws InvalidOption {
        Map<String, Double> values = new LinkedHashMap<>();
        OPTIONS.forEach((key, option) -> values.put(key, option.otherwise));
        for (String pair : pairs) {
            int equals = pair.indexOf('=');
            String key = equals < 0 ? pair : pair.substring(0, equals);
            Option option = OPTIONS.get(key);
            if (option == null) {
                throw new InvalidOption(key + " is unknown; many-servers takes " + String.join(", ",
                    new ArrayList<>(OPTIONS.keySet())));
            }
            values.put(key, number(key, equals < 0 ? "" : pair.substring(equals + 1), option));
        }
        return of(values);
    }

    private static double number(String key, String text, Option option) throws InvalidOption {
        try {
            double value = Double.parseDouble(text);
            if (value >= option.least && value <= option.most) {
                return value;
            }
        } catch (NumberFormatException notANumber) {
            // Reported below, together with values that are out of range.
        }
        throw new InvalidOption(key + " can't be read: " + text + "; it takes a number from " + option.least
            + " to " + option.most);
    }

    private static DayOptions of(Map<String, Double> values) {
        return new DayOptions(values.get("servers").intValue(), values.get("routers").intValue(),
            values.get("members").intValue(), values.get("rate"), values.get("seconds"),
            values.get("sockets").intValue(), values.get("drain_share"), values.get("remove_share"),
            values.get("cold_share"), values.get("cut_share"), values.get("leave_share"),
            values.get("restarts").intValue(), values.get("list_piece_bytes").intValue(),
            values.get("list_piece_ms").intValue(), values.get("list_indented") >= 1,
            values.get("discovery_capacity").intValue(), values.get("whole_lists").intValue());
    }

    /** The same day with another number of servers; larger groups where the group count is kept. */
    public DayOptions withServers(int count, int groupSize) {
        return new DayOptions(count, routers, groupSize, rate, seconds, sockets, drainShare, removeShare, coldShare,
            cutShare, leaveShare, restarts, listPieceBytes, listPieceMillis, listIndented, discoveryCapacity, wholeLists);
    }

    int groups() {
        return Math.max(1, servers / members);
    }
}
