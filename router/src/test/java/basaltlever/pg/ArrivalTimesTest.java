package basaltlever.pg;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.time.Moment;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Compares {@link ArrivalTimes} with a list of the arrival of each byte. */
class ArrivalTimesTest {
  @Property(tries = 300, seed = "282")
  void messageArrivesWithItsLastByteOrAppearsOlder(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    ArrivalTimes arrivals = new ArrivalTimes();
    List<Moment> bytes = new ArrayList<>();
    int consumed = 0;
    for (int step = 0; step < 200; step++) {
      if (random.nextInt(3) > 0 || consumed == bytes.size()) {
        int size = 1 + random.nextInt(20);
        arrivals.recordRead(size, new Moment(step));
        for (int i = 0; i < size; i++) {
          bytes.add(new Moment(step));
        }
      } else {
        int size = 1 + random.nextInt(bytes.size() - consumed);
        consumed += size;
        Moment arrival = arrivals.consumeMessage(size);
        Moment last = bytes.get(consumed - 1);
        boolean few = bytes.subList(consumed - size, bytes.size()).stream().distinct().count() < 32;
        check(few ? arrival.equals(last) : !arrival.isAfter(last), arrival + " and " + last);
      }
    }
  }
}
