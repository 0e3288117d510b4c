package basaltlever.net;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.net.ClientModel.InjectedFault;
import basaltlever.net.ClientModel.Step;
import basaltlever.pg.MessageEncoder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import net.jqwik.api.Example;

/** Tests a client that sends more than the memory budget of the messages allows. */
class ClientMemoryBudgetTest {
  private static final int STATEMENTS = 40;
  private static final int STATEMENT_BYTES = 60_000;
  private static final int READ_BYTES = 50_000;

  /**
   * Guards against statements that are discarded unread when the budget is used up, as those of
   * review/3 were beyond the limit of one client.
   */
  @Example
  void eachStatementBeyondTheBudgetIsAnswered() {
    ClientModel model = new ClientModel(InjectedFault.NONE);
    model.perform(Step.SEND);
    model.perform(Step.READ);
    ByteBuf input = Unpooled.buffer();
    for (int i = 0; i < STATEMENTS; i++) {
      MessageEncoder.writeQuery(
          input,
          "/* id=b"
              + i
              + ",c=view,d=900,cluster=1 */ SELECT '"
              + "v".repeat(STATEMENT_BYTES)
              + "'");
    }
    while (input.isReadable()) {
      int bytes = Math.min(READ_BYTES, input.readableBytes());
      model.receive(ByteBufUtil.getBytes(input.readSlice(bytes)));
      model.perform(Step.READ);
    }
    for (int i = 0; i <= STATEMENTS; i++) {
      model.perform(Step.ANSWER);
      model.perform(Step.RUN_LATER);
    }
    int answers = model.countAnswersAtClient();
    check(
        answers == STATEMENTS,
        "expected one answer for each statement and no fatal error, got " + answers);
  }
}
