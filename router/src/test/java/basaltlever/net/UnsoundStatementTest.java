package basaltlever.net;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.StatementForms;
import basaltlever.StatementForms.Form;
import basaltlever.net.ClientModel.InjectedFault;
import basaltlever.net.ClientModel.Step;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Example;

/** Tests that only statements that the protocol allows are submitted, in whatever pieces. */
class UnsoundStatementTest {
  private static final String ID = "a5";

  /** Inputs up to this size are cut at each byte; larger ones at a few. */
  private static final int MAX_EACH_CUT_BYTES = 400;

  /**
   * Guards against statements that the protocol does not allow and that were answered as served
   * (issue 72, evidence 2): above all a frame that is longer than its text.
   */
  @Example
  void noUnsoundFormIsSubmittedAtAnyCut() {
    List<String> submitted = new ArrayList<>();
    for (Form form : StatementForms.unsound(ID)) {
      for (int cut : cuts(form.bytes())) {
        if (!receive(form.bytes(), cut).submittedIds().isEmpty()) {
          submitted.add(form.name() + " cut at " + cut);
          break;
        }
      }
    }
    check(submitted.isEmpty(), submitted.size() + " submitted: " + String.join("\n", submitted));
  }

  @Example
  void eachSoundFormIsSubmittedAtAnyCut() {
    for (Form form : StatementForms.sound(ID)) {
      for (int cut : cuts(form.bytes())) {
        check(
            receive(form.bytes(), cut).submittedIds().equals(List.of(ID)),
            "expected a submission: " + form.name() + " cut at " + cut);
      }
    }
  }

  private static int[] cuts(byte[] bytes) {
    if (bytes.length > MAX_EACH_CUT_BYTES) {
      return new int[] {1, 5, 100, bytes.length / 2, bytes.length - 1, bytes.length};
    }
    int[] cuts = new int[bytes.length];
    Arrays.setAll(cuts, i -> i + 1);
    return cuts;
  }

  /** Passes the bytes in two pieces to a new connection behind its startup. */
  private static ClientModel receive(byte[] bytes, int cut) {
    ClientModel model = new ClientModel(InjectedFault.NONE);
    model.perform(Step.SEND);
    model.perform(Step.READ);
    model.receive(Arrays.copyOf(bytes, cut));
    model.perform(Step.READ);
    model.receive(Arrays.copyOfRange(bytes, cut, bytes.length));
    model.perform(Step.READ);
    model.perform(Step.RUN_LATER);
    return model;
  }
}
