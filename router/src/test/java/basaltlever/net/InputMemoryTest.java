package basaltlever.net;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.pg.MemoryBudget;
import basaltlever.pg.ProtocolException;
import basaltlever.time.Moment;
import basaltlever.time.Span;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/** Tests whose input gives way when the memory for the input of all clients is used up. */
class InputMemoryTest {
  private static final int MAX_BYTES = 400_000;
  private static final int LARGE_BYTES = 100_000;
  private static final Moment START = new Moment(1_000_000_000);

  private final MemoryBudget budget = new MemoryBudget(1 << 24);
  private final InputMemory memory = new InputMemory(MAX_BYTES);

  private ClientInput newInput() {
    ClientInput input = new ClientInput(budget, memory);
    input.onStarted();
    return input;
  }

  /** Receives a large message but for its last byte. */
  private ClientInput receiveHalf(long atMillis) throws ProtocolException {
    ClientInput input = newInput();
    receive(input, query(LARGE_BYTES, 1), atMillis);
    return input;
  }

  private static void receive(ClientInput input, ByteBuf bytes, long atMillis)
      throws ProtocolException {
    Moment now = START.plus(Span.ofMillis((double) atMillis));
    input.add(bytes, now, now, false);
  }

  private static ByteBuf query(int bytes, int missingBytes) {
    ByteBuf out = Unpooled.buffer(bytes + 6, bytes + 6);
    out.writeByte('Q').writeInt(bytes + 5).writeBytes(new byte[bytes]).writeByte(0);
    return out.writerIndex(out.writerIndex() - missingBytes);
  }

  @Example
  void clientThatHasSentNothingForLongestGivesWayFirst() throws ProtocolException {
    List<ClientInput> inputs = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      inputs.add(receiveHalf(100L * i));
    }
    // The first one goes on, so the second one has sent nothing for longest.
    receive(inputs.get(0), Unpooled.buffer(1).writeByte(0), 900);
    inputs.add(receiveHalf(1_000));
    check(inputs.get(0).capacityBytes() > 0, "a client that goes on keeps its input");
    check(inputs.get(1).capacityBytes() == 0, "the stalled client gives way");
    check(inputs.get(3).capacityBytes() > 0, "the new client has its room");
    check(memory.usedBytes() <= MAX_BYTES, "the bound holds: " + memory.usedBytes());
  }

  @Example
  void withoutStalledClientsTheLatestInputGivesWay() throws ProtocolException {
    List<ClientInput> inputs = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      inputs.add(receiveHalf(i));
    }
    check(inputs.get(0).capacityBytes() > 0, "the first keeps its input");
    check(inputs.get(19).capacityBytes() == 0, "the last gives way");
    check(memory.usedBytes() <= MAX_BYTES, "the bound holds: " + memory.usedBytes());
    inputs.forEach(ClientInput::release);
    check(memory.usedBytes() == 0 && budget.reservedBytes() == 0, "all memory is released");
  }

  /** Guards against releasing a buffer whose message is still being processed. */
  @Example
  void inputWhoseMessageIsInUseDoesNotGiveWay() throws ProtocolException {
    ClientInput input = newInput();
    ByteBuf twoMessages = Unpooled.wrappedBuffer(query(LARGE_BYTES, 0), query(LARGE_BYTES, 1));
    receive(input, twoMessages, 0);
    ByteBuf message = input.nextMessage();
    for (int i = 0; i < 5; i++) {
      receiveHalf(1_000 + i);
    }
    check(message.refCnt() > 0 && message.getByte(0) == 'Q', "the message is usable");
    input.onMessageProcessed();
    for (int i = 0; i < 5; i++) {
      receiveHalf(2_000 + i);
    }
    check(input.capacityBytes() == 0, "afterwards it gives way");
    check(!input.isEmpty(), "the rest of its message is owed a rejection");
  }
}
