package basaltlever.net;

import static basaltlever.StandIn.check;

import basaltlever.agree.Grant;
import basaltlever.agree.Report;
import basaltlever.agree.Roll;
import basaltlever.agree.Sight;
import basaltlever.agree.Verdict;
import basaltlever.agree.Version;
import basaltlever.config.StartFile;
import basaltlever.discovery.MemberList;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Example;

class KeepingTest {
    private static final Span ASSIGNED = Span.ofMillis(3_000);

    /** A leader that was replaced goes on answering with nothing to give: that is no word of the fleet. */
    @Example
    void grantsThatLastNothingDoNotKeepMembersAssigned() throws Exception {
        Path example = Files.exists(Path.of("deploy")) ? Path.of("deploy/example.json")
            : Path.of("../deploy/example.json");
        Roll roll = new Roll(Span.ofMillis(1_000), ASSIGNED);
        MemberList list = new MemberList(null, List.of(), null);
        list.agreeBy(roll, () -> new Moment(0));
        Keeping keeping = new Keeping(StartFile.read(example), Span.NONE, roll, list, () -> { },
            (file, holds) -> { });
        Report report = roll.report(new Moment(0), member -> true);
        Sight sight = new Sight(1, 0, List.of(), 0, Verdict.UNTOLD, report.at(), report.digest(), 0, 0, List.of());
        Moment now = new Moment(1_000_000);
        for (int i = 0; i < 60; i++) {
            Span lasts = i < 3 ? Span.ofMillis(400) : Span.NONE;
            keeping.granted(now, new Grant(keeping.follower().beat(now), lasts, new Version(0, "", 1, "", "", 0),
                null, 0), sight);
            check(i >= 3 || !roll.isAdrift(now), "under a lease");
            now = now.plus(Span.ofMillis(100));
            keeping.look(now);
        }
        check(roll.isAdrift(now), "5.7 s after the last grant that lasted, whatever was answered since");
        check(keeping.stance(now) >= 0, "and it knows: what is decided now may go out, to nobody");
    }
}
