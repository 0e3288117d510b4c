package basaltlever.pg;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.LoopbackCluster;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import net.jqwik.api.Example;

/** Tests responses that hold both a row and an error. */
class QueryResponseTest {
  private static QueryResponse read(ByteBuf input) throws ProtocolException {
    MessageDecoder decoder = new MessageDecoder(1 << 16, new MemoryBudget(1 << 20));
    decoder.add(input);
    QueryResponse response = new QueryResponse();
    for (ByteBuf message = decoder.nextMessage();
        message != null && !response.add(message);
        message = decoder.nextMessage()) {
      // The next message follows.
    }
    decoder.release();
    return response;
  }

  /**
   * Guards against a second execution: an error that usually proves that nothing ran proves nothing
   * if the server also sends a row, in whichever order.
   */
  @Example
  void errorBesideRowProvesNothing() throws ProtocolException {
    for (String code : new String[] {"25006", "72000", "53300"}) {
      for (boolean errorFirst : new boolean[] {true, false}) {
        ByteBuf input = Unpooled.buffer();
        if (errorFirst) {
          MessageEncoder.writeErrorResponse(input, "ERROR", code, "as asked", null);
        }
        LoopbackCluster.writeRow(input, "v");
        if (!errorFirst) {
          MessageEncoder.writeErrorResponse(input, "ERROR", code, "as asked", null);
        }
        MessageEncoder.writeReadyForQuery(input);
        QueryResponse response = read(input);
        check(
            response.sqlState() == null && !response.isSingleRow(),
            "expected no proof, " + code + ", error first: " + errorFirst);
        response.release();
      }
    }
  }
}
