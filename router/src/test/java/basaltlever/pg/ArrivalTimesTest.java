package basaltlever.pg;

import static basaltlever.StandIn.check;

import basaltlever.time.Moment;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Against a list with the moment of each byte. */
class ArrivalTimesTest {
  @Property(tries = 300, seed = "282")
  void aMessageCameWithItsLastByteOrCountsAsOlder(@ForAll long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    ArrivalTimes arrivals = new ArrivalTimes();
    List<Moment> bytes = new ArrayList<>();
    int cut = 0;
    for (int step = 0; step < 200; step++) {
      if (chance.nextInt(3) > 0 || cut == bytes.size()) {
        int size = 1 + chance.nextInt(20);
        arrivals.read(size, new Moment(step));
        for (int i = 0; i < size; i++) {
          bytes.add(new Moment(step));
        }
      } else {
        int size = 1 + chance.nextInt(bytes.size() - cut);
        cut += size;
        Moment told = arrivals.cut(size);
        Moment last = bytes.get(cut - 1);
        boolean few = bytes.subList(cut - size, bytes.size()).stream().distinct().count() < 32;
        check(few ? told.equals(last) : !told.isAfter(last), told + " and " + last);
      }
    }
  }
}
