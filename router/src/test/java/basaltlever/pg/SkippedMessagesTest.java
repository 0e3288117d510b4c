package basaltlever.pg;

import static basaltlever.LoadBalancerHarness.check;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** Tests that messages without their content keep their order and number. */
class SkippedMessagesTest {
  private static final int MAX_MESSAGE_BYTES = 1 << 12;
  private static final String TYPES = "QQQSPX";

  /** Guards against a message that is lost or counted twice where reads split the input. */
  @Property(tries = 300, seed = "61", shrinking = ShrinkingMode.OFF)
  void messagesKeepTheirOrderHoweverTheInputIsSplit(@ForAll long seed) throws ProtocolException {
    SplittableRandom random = new SplittableRandom(seed);
    StringBuilder sent = new StringBuilder();
    ByteBuf input = Unpooled.buffer();
    for (int i = random.nextInt(1, 40); i > 0; i--) {
      char type = TYPES.charAt(random.nextInt(TYPES.length()));
      int bodyBytes = random.nextInt(random.nextBoolean() ? 3 : 3_000);
      sent.append(type);
      input.writeByte(type).writeInt(Integer.BYTES + bodyBytes).writeZero(bodyBytes);
    }
    int partialBytes = random.nextInt(MessageDecoder.HEADER_BYTES + 2);
    input.writeBytes(new byte[] {'Q', 0, 0, 0, 9, 0, 0}, 0, partialBytes);

    // The first read is buffered; what the decoder holds incomplete is moved.
    MemoryBudget budget = new MemoryBudget(1 << 20);
    MessageDecoder decoder = new MessageDecoder(MAX_MESSAGE_BYTES, budget);
    decoder.add(input.readBytes(random.nextInt(1, input.readableBytes() + 1)));
    SkippedMessages skipped = new SkippedMessages(MAX_MESSAGE_BYTES);
    ByteBuf incomplete = decoder.removeIncompleteMessage();
    if (incomplete != null) {
      skipped.add(incomplete);
    }
    while (input.isReadable()) {
      skipped.add(input.readBytes(random.nextInt(1, input.readableBytes() + 1)));
    }

    StringBuilder received = new StringBuilder();
    for (ByteBuf message = decoder.nextMessage();
        message != null;
        message = decoder.nextMessage()) {
      received.append((char) message.getByte(message.readerIndex()));
    }
    while (!skipped.isEmpty()) {
      received.append((char) skipped.takeType());
    }
    check(received.toString().equals(sent.toString()), "expected " + sent + ", got " + received);
    check(
        skipped.hasPartialMessage() == partialBytes > 0, "expected the partial message to be kept");
    check(budget.reservedBytes() == 0, "expected the memory of the decoder to be released");
  }

  /** Guards against memory that grows without limit: a client may change the type each time. */
  @Example
  void changesOfTypeAreLimited() throws ProtocolException {
    SkippedMessages skipped = new SkippedMessages(MAX_MESSAGE_BYTES);
    skipped.add(messages("QQQQ".repeat(100_000)));
    skipped.add(messages("SQ".repeat(SkippedMessages.MAX_RUNS / 2 - 1)));
    skipped.add(messages("S"));
    try {
      skipped.add(messages("Q"));
      check(false, "expected a rejection of one more change of type");
    } catch (ProtocolException exception) {
      check(exception.sqlState.equals("54000"), "expected the code of a limit");
    }
    int taken = 0;
    for (; !skipped.isEmpty(); taken++) {
      skipped.takeType();
    }
    check(
        taken == 400_000 + SkippedMessages.MAX_RUNS - 1,
        "expected the messages before the limit to be kept: " + taken);
  }

  private static ByteBuf messages(String types) {
    ByteBuf out = Unpooled.buffer(types.length() * MessageDecoder.HEADER_BYTES);
    types.chars().forEach(type -> out.writeByte(type).writeInt(Integer.BYTES));
    return out;
  }
}
