package basaltlever;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.adapter.Adapter;
import basaltlever.adapter.MalformedFrameException;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;

/**
 * Tests the adapter's frames: valid batches produce the documented output, and malformed ones fail
 * with a message that names the cause.
 */
class AdapterTest {
  private static final String SETTINGS =
      """
      Balancers=2
      Zone=0
      Classes.count=1
      Classes.0.Repeat=at_most_once
      Classes.0.Slo=300000
      Classes.0.HardLimit=2000000
      Classes.0.Worth=4
      FamilyInfo.ClassRead=write
      FamilyInfo.Checks=none
      FamilyInfo.SessionMarks=carried
      FamilyInfo.OriginTime=1000000
      Discovery=pushed
      Rules.ColdFrom=0.2
      Rules.Cold=9000000
      Rules.FallMultiple=2
      Rules.Fall=1000000
      Rules.AnswerSlack=20000
      Bounds.MaxAttempts=4
      Bounds.MayProbe=true
      Reporting.Fields=x0,x1,utilization
      Something.New=5
      """;

  private final ByteBuffer fields = ByteBuffer.allocate(1 << 16).order(ByteOrder.LITTLE_ENDIAN);
  private final ByteArrayOutputStream input = new ByteArrayOutputStream();
  private int records;

  private ByteBuffer appendRecord(int code, int length) {
    records++;
    return fields.put((byte) code).putInt(length);
  }

  private AdapterTest appendBatch(long clock) {
    ByteBuffer header = ByteBuffer.allocate(20).order(ByteOrder.LITTLE_ENDIAN);
    header.putInt(fields.position()).putLong(clock).putInt(records).putInt(7);
    input.writeBytes(header.array());
    input.write(fields.array(), 0, fields.position());
    fields.clear();
    records = 0;
    return this;
  }

  private ByteBuffer runAdapter() throws IOException, MalformedFrameException {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    new Adapter(new ByteArrayInputStream(input.toByteArray()), output).run();
    return ByteBuffer.wrap(output.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
  }

  private String runExpectingFault() throws IOException {
    try {
      runAdapter();
    } catch (MalformedFrameException expected) {
      return expected.getMessage();
    }
    return "";
  }

  private AdapterTest appendSpawn(String settings) {
    byte[] text = settings.getBytes(StandardCharsets.UTF_8);
    appendRecord(12, 2).putShort((short) 3);
    appendRecord(1, 12 + text.length).putLong(42).putInt(text.length).put(text);
    return this;
  }

  private AdapterTest appendList() {
    appendRecord(11, 8 + 28)
        .putInt(5)
        .putInt(1)
        .put((byte) 3)
        .putFloat(0)
        .putShort((short) 0)
        .putInt(0x0a000001)
        .putShort((short) 80)
        .putFloat(1)
        .putLong(0)
        .put((byte) 0)
        .putShort((short) 4);
    appendRecord(2, 13).put((byte) 2).putLong(1).putInt(5);
    return this;
  }

  private AdapterTest appendStatement(long clientDeadline) {
    appendRecord(3, 39)
        .putInt(77)
        .put((byte) 0)
        .putInt(0)
        .putLong(9)
        .putLong(clientDeadline)
        .putInt(0)
        .putFloat(4)
        .putFloat(0)
        .putShort((short) 4);
    return this;
  }

  @Example
  void writeIsSentAfterPrimaryRespondsToPoll() throws Exception {
    appendSpawn(SETTINGS).appendList().appendStatement(3_000_000).appendBatch(2_000_000);
    appendRecord(12, 2).putShort((short) 3);
    appendRecord(8, 13 + 12)
        .putInt(0x0a000001)
        .putShort((short) 80)
        .putShort((short) 0)
        .putInt(900)
        .put((byte) 3)
        .putFloat(0.9f)
        .putFloat(1)
        .putFloat(0.5f);
    appendRecord(200, 3).put(new byte[3]);
    ByteBuffer out = appendBatch(2_005_000).runAdapter();
    check(
        out.getInt(4) == 7 && out.get(8) == 2 && out.getShort(13) == 3,
        "expected the record of instance 3 first");
    check(
        out.get(15) == 6 && out.getInt(20) == 0x0a000001, "expected a poll of the listed endpoint");
    int secondBatch = 8 + out.getInt(0) - 0;
    check(
        out.get(secondBatch + 8 + 7) == 7 && out.getInt(secondBatch + 8 + 12) == 77,
        "expected the write to be sent after the poll");
  }

  @Example
  void killedInstanceCanRestartInSameBatch() throws Exception {
    appendSpawn(SETTINGS).appendList().appendBatch(2_000_000);
    appendRecord(12, 2).putShort((short) 3);
    appendRecord(10, 0);
    appendSpawn(SETTINGS)
        .appendList()
        .appendStatement(3_000_000)
        .appendBatch(2_005_000)
        .runAdapter();
  }

  @Example
  void malformedFramesAreReportedWithTheirCause() throws Exception {
    appendRecord(12, 2).putShort((short) 9);
    appendRecord(7, 4).putInt(1);
    check(
        appendBatch(1).runExpectingFault().contains("instance 9, which is not running"),
        "expected an error for an unknown instance");
    input.reset();
    appendRecord(3, 4_000).putInt(1);
    check(
        appendBatch(1).runExpectingFault().contains("reaches past its batch"),
        "expected an error for a record that is longer than its batch");
    input.reset();
    appendSpawn(SETTINGS);
    appendRecord(2, 13).put((byte) 3).putLong(1).putInt(9);
    check(
        appendBatch(1).runExpectingFault().contains("list 9 was never given"),
        "expected an error for an unknown list");
    input.reset();
    appendSpawn(SETTINGS.replace("Rules.Fall=1000000", "Rules.Fall=soon"));
    check(
        appendBatch(1).runExpectingFault().contains("Rules.Fall can't be read: soon"),
        "expected an error for an unreadable setting");
    input.reset();
    appendSpawn(SETTINGS.replace("Zone=0", ""));
    check(
        appendBatch(1).runExpectingFault().contains("Zone is missing"),
        "expected an error for a missing setting");
    input.reset();
    input.write(1);
    check(runExpectingFault().contains("ends inside"), "expected an error for a truncated header");
  }

  @Example
  void exceptionInDecisionsIsReportedWithItsCause() throws Exception {
    appendSpawn(SETTINGS).appendList();
    appendRecord(3, 39).putInt(77).put((byte) 250).put(new byte[34]);
    ByteBuffer out = appendBatch(2_000_000).runAdapter();
    String text = StandardCharsets.UTF_8.decode(out).toString();
    check(
        text.contains("ArrayIndexOutOfBounds"),
        "expected the cause of the exception in the output");
  }
}
