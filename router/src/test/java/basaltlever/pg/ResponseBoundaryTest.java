package basaltlever.pg;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.LoopbackCluster;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** Tests that the response to a query is told from whatever the server sends before it. */
class ResponseBoundaryTest {
  private static void writeResponse(ByteBuf out, SplittableRandom random, String value) {
    switch (random.nextInt(3)) {
      case 0 -> MessageEncoder.writeErrorResponse(out, "ERROR", "53300", "full", null);
      case 1 -> MessageEncoder.writeErrorResponse(out, "ERROR", "25006", "no primary", "5");
      default -> LoopbackCluster.writeRow(out, value);
    }
    if (random.nextBoolean()) {
      MessageEncoder.writeParameterStatus(out, "part", "replica");
    }
    MessageEncoder.writeReadyForQuery(out);
  }

  private static void writeBoundary(ByteBuf out, SplittableRandom random) {
    MessageEncoder.writeEmptyQueryResponse(out);
    if (random.nextBoolean()) {
      MessageEncoder.writeParameterStatus(out, "part", "master");
    }
    MessageEncoder.writeReadyForQuery(out);
  }

  /** Adds messages until the boundary is reached or the input ends; returns whether it is. */
  private static boolean readToBoundary(ResponseBoundary boundary, MessageDecoder decoder)
      throws ProtocolException {
    while (!boundary.isReached()) {
      ByteBuf message = decoder.nextMessage();
      if (message == null) {
        return false;
      }
      boundary.add(message);
    }
    return true;
  }

  /** Guards against a copy that is taken for the response, and a response taken for a copy. */
  @Property(tries = 300, seed = "62", shrinking = ShrinkingMode.OFF)
  void completeResponsesBeforeTheBoundaryAreSkipped(@ForAll long seed) throws ProtocolException {
    SplittableRandom random = new SplittableRandom(seed);
    MessageDecoder decoder = new MessageDecoder(1 << 16, new MemoryBudget(1 << 20));
    ByteBuf input = Unpooled.buffer();
    int copies = random.nextInt(4);
    for (int i = 0; i < copies; i++) {
      writeResponse(input, random, "copy");
    }
    writeBoundary(input, random);
    LoopbackCluster.writeRow(input, "requested");
    MessageEncoder.writeReadyForQuery(input);
    decoder.add(input);
    ResponseBoundary boundary = new ResponseBoundary();
    check(readToBoundary(boundary, decoder), "expected to find the boundary");
    check(boundary.unrequestedResponses() == copies, "expected all copies to be counted");
    QueryResponse response = new QueryResponse();
    while (!response.add(decoder.nextMessage())) {
      check(!response.isUnusable(), "expected a usable response");
    }
    check(response.value().equals("requested"), "expected the value behind the boundary");
    response.release();
    decoder.release();
  }

  /**
   * Guards against a boundary that is found within a value: the rest of an incomplete copy is taken
   * from the messages behind it.
   */
  @Property(tries = 300, seed = "63", shrinking = ShrinkingMode.OFF)
  void incompleteCopyIsNeverFollowedByABoundary(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    MessageDecoder decoder = new MessageDecoder(1 << 16, new MemoryBudget(1 << 20));
    ByteBuf input = Unpooled.buffer();
    ByteBuf value = Unpooled.buffer();
    writeBoundary(value, random);
    // The value of the copy and that of the response look like a boundary.
    String deceptive = value.toString(java.nio.charset.StandardCharsets.ISO_8859_1);
    LoopbackCluster.writeRow(input, deceptive);
    MessageEncoder.writeReadyForQuery(input);
    input.writerIndex(random.nextInt(1, input.writerIndex()));
    writeBoundary(input, random);
    LoopbackCluster.writeRow(input, deceptive);
    MessageEncoder.writeReadyForQuery(input);
    ResponseBoundary boundary = new ResponseBoundary();
    try {
      decoder.add(input);
      boolean reached = readToBoundary(boundary, decoder);
      // A cut right between two responses leaves no incomplete copy.
      check(!reached, "expected no boundary behind an incomplete copy, seed " + seed);
    } catch (ProtocolException expected) {
      check(!boundary.isReached(), "expected no boundary before the violation");
    }
    boundary.release();
    decoder.release();
  }

  /** Guards against an endless sequence of copies. */
  @Example
  void bytesBeforeTheBoundaryAreLimited() {
    ByteBuf copy = Unpooled.buffer();
    LoopbackCluster.writeRow(copy, "v".repeat(1 << 15));
    MessageEncoder.writeReadyForQuery(copy);
    MessageDecoder decoder = new MessageDecoder(1 << 20, new MemoryBudget(1 << 24));
    ResponseBoundary boundary = new ResponseBoundary();
    int copies = 0;
    try {
      for (; copies < 1_000; copies++) {
        decoder.add(copy.copy());
        readToBoundary(boundary, decoder);
      }
      check(false, "expected a limit");
    } catch (ProtocolException expected) {
      check(copies == QueryResponse.MAX_RESPONSE_BYTES / copy.readableBytes(), "at " + copies);
    }
    decoder.release();
  }
}
