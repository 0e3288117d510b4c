package basaltlever.agree;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * What the voters agree on: which version is in force and which is being brought into force. It is changed by
 * commands alone, in the one order that the engine gives them at every voter, so each comes to the same
 * answer; it looks at no clock. A version goes from proposed to prepared, while all keep to the stricter of
 * it and the one in force, and from there to in force or withdrawn.
 */
public final class Register {
    private static final int MOST_HISTORY = 200;
    /** Settings, as bytes of text at most. */
    public static final int LARGEST = 128 * 1024;

    /** What became of a version. */
    public enum End { IN_FORCE, WITHDRAWN, REFUSED }

    /** One line of the history; the reason says why it was not taken, else it is empty. */
    public record Chapter(Version version, End end, String reason) { }

    private Version inForce = new Version(0, "", 1, "", "the start file of each router", 0);
    private Version prepared;
    private long last;
    private final ArrayDeque<Chapter> history = new ArrayDeque<>();

    /**
     * A proposal made with the given version in force; empty where it is being prepared from here on, else
     * why it is not, and it gets no number. The later of two operators is told what it lost against.
     */
    public String propose(long basis, String text, int routers, String who, String why, long atMillis) {
        String reason = prepared != null ? "version " + prepared.number() + " by " + prepared.who()
            + " is being brought into force"
            : basis != inForce.number() ? "version " + inForce.number() + " by " + inForce.who()
                + " came into force since version " + basis
            : text.length() > LARGEST ? "it is longer than " + LARGEST + " characters" : "";
        Version version = new Version(reason.isEmpty() ? ++last : 0, text, routers, who, why, atMillis);
        if (reason.isEmpty()) {
            prepared = version;
        } else {
            note(new Chapter(version, End.REFUSED, reason));
        }
        return reason;
    }

    /** All live routers keep to the stricter of both, and all others have no lease: it holds from here on. */
    public boolean bringIntoForce(long number) {
        if (prepared == null || prepared.number() != number) {
            return false;
        }
        inForce = prepared;
        prepared = null;
        note(new Chapter(inForce, End.IN_FORCE, ""));
        return true;
    }

    public boolean withdraw(long number, String reason) {
        if (prepared == null || prepared.number() != number) {
            return false;
        }
        note(new Chapter(prepared, End.WITHDRAWN, reason));
        prepared = null;
        return true;
    }

    private void note(Chapter chapter) {
        history.addLast(chapter);
        if (history.size() > MOST_HISTORY) {
            history.removeFirst();
        }
    }

    public Version inForce() {
        return inForce;
    }

    /** Null where none is on its way. */
    public Version prepared() {
        return prepared;
    }

    public long last() {
        return last;
    }

    /** Oldest first, bounded. */
    public List<Chapter> history() {
        return new ArrayList<>(history);
    }

    /** As a snapshot held it. */
    public void restore(Version force, Version onItsWay, long number, List<Chapter> chapters) {
        inForce = force;
        prepared = onItsWay;
        last = number;
        history.clear();
        chapters.forEach(this::note);
    }
}
