package basaltlever;

import static basaltlever.LoadBalancerHarness.check;

import basaltlever.core.LoadReportFormat;
import basaltlever.core.StatementRouter;
import basaltlever.discovery.ChunkedResponseReader;
import basaltlever.discovery.EndpointList;
import basaltlever.discovery.InvalidEndpointListException;
import basaltlever.gateway.EndpointLifecycle;
import basaltlever.json.InvalidJsonException;
import basaltlever.json.Json;
import basaltlever.pg.MemoryBudget;
import basaltlever.pg.MessageDecoder;
import basaltlever.pg.MessageEncoder;
import basaltlever.pg.ProtocolException;
import basaltlever.pg.Query;
import basaltlever.pg.QueryResponse;
import basaltlever.time.Moment;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Tests each parser with valid input split at arbitrary positions, with malformed input, and
 * against its documented format.
 */
class ParserTest {
  private static ByteBuf utf8Buffer(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }

  private static ByteBuf rowResponse(String value) {
    ByteBuf out = Unpooled.buffer();
    LoopbackCluster.writeRow(out, value);
    return out;
  }

  @Property(tries = 200, seed = "97", shrinking = ShrinkingMode.OFF)
  void messagesSplitAtAnyByteDecodeUnchanged(@ForAll long seed) throws ProtocolException {
    SplittableRandom random = new SplittableRandom(seed);
    MemoryBudget budget = new MemoryBudget(1 << 20);
    MessageDecoder decoder = new MessageDecoder(1 << 16, budget);
    ByteBuf unread = Unpooled.buffer();
    List<String> sent = new ArrayList<>();
    for (int i = random.nextInt(1, 12); i > 0; i--) {
      String query = "x".repeat(random.nextInt(random.nextInt(2) == 0 ? 9 : 3_000));
      sent.add(query);
      MessageEncoder.writeQuery(unread, query);
    }
    List<String> decoded = new ArrayList<>();
    List<ByteBuf> parts = new ArrayList<>();
    while (unread.isReadable()) {
      ByteBuf part = unread.readBytes(Math.min(unread.readableBytes(), random.nextInt(1, 1_500)));
      parts.add(part);
      decoder.add(part);
      for (ByteBuf m = decoder.nextMessage(); m != null; m = decoder.nextMessage()) {
        decoded.add(m.toString(m.readerIndex() + 5, m.readableBytes() - 6, StandardCharsets.UTF_8));
      }
    }
    decoder.release();
    check(decoded.equals(sent), "the messages decode as sent");
    check(
        budget.reservedBytes() == 0 && parts.stream().allMatch(p -> p.refCnt() == 0),
        "all buffers and budget are released");
  }

  @Property(tries = 500, seed = "98", shrinking = ShrinkingMode.OFF)
  void randomInputIsParsedOrRejectedWithADeclaredException(@ForAll byte[] bytes, @ForAll long seed)
      throws Exception {
    SplittableRandom random = new SplittableRandom(seed);
    MessageDecoder decoder = new MessageDecoder(1 << 12, new MemoryBudget(1 << 16));
    QueryResponse response = new QueryResponse();
    try {
      decoder.add(Unpooled.copiedBuffer(bytes));
      for (ByteBuf m = decoder.nextMessage(); m != null; m = decoder.nextMessage()) {
        response.add(m);
      }
    } catch (ProtocolException expected) {
      check(expected.sqlState.length() == 5, "the exception has an SQLSTATE");
    }
    check(
        (!response.isSingleRow() && response.takeRow().isEmpty()) || bytes.length > 20,
        "a few random bytes yield no row");
    response.release();
    decoder.release();
    String validStatement = "/* id=1,c=basket,d=480,cluster=2 */ SELECT 'x'";
    int cut = random.nextInt(validStatement.length());
    String corruptStatement =
        validStatement.substring(0, cut)
            + new String(bytes, StandardCharsets.ISO_8859_1)
            + validStatement.substring(random.nextInt(cut, validStatement.length()));
    try {
      Query query = Query.parse(utf8Buffer(corruptStatement));
      check(
          query.timeoutStart < query.timeoutEnd && query.timeoutMillis >= 0,
          "the timeout has a valid position and value");
    } catch (ProtocolException expected) {
      check(!expected.getMessage().isEmpty(), "the exception has a message");
    }
    try {
      Json.parse(corruptStatement.substring(random.nextInt(corruptStatement.length())));
    } catch (InvalidJsonException expected) {
      check(expected.getMessage().contains("at character"), "the exception names the position");
    }
    try {
      new ChunkedResponseReader(line -> {}).read(Unpooled.copiedBuffer(bytes));
      new ChunkedResponseReader(line -> {})
          .read(
              utf8Buffer(
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      + new String(bytes, StandardCharsets.ISO_8859_1)));
    } catch (InvalidEndpointListException expected) {
      check(!expected.getMessage().isEmpty(), "the exception has a message");
    }
  }

  @Example
  void invalidMessageLengthsAreRejected() throws ProtocolException {
    for (int length : new int[] {-1, 0, 3, Integer.MIN_VALUE, Integer.MAX_VALUE, 5_000}) {
      MessageDecoder decoder = new MessageDecoder(4_096, new MemoryBudget(1 << 16));
      decoder.add(Unpooled.buffer().writeByte('Q').writeInt(length).writeByte(0));
      try {
        decoder.nextMessage();
        check(false, "expected rejection of length " + length);
      } catch (ProtocolException exception) {
        check(exception.getMessage().contains("" + length), "the exception names the length");
      }
      decoder.release();
    }
    MessageDecoder smallBudgetDecoder = new MessageDecoder(4_096, new MemoryBudget(8));
    try {
      smallBudgetDecoder.add(Unpooled.buffer(64).writeZero(64));
      check(false, "expected rejection of data beyond the budget");
    } catch (ProtocolException exception) {
      check(
          exception.sqlState.equals("53300"),
          "data beyond the budget is rejected with SQLSTATE 53300");
    }
    smallBudgetDecoder.release();
  }

  @Example
  void queryCommentIsParsedAndOnlyItsTimeoutIsRewritten() throws ProtocolException {
    String statement =
        "/* id=9b1f,c=basket,d=480,cluster=2,after=1767225600123 */ SELECT doc FROM items"
            + " WHERE id = '7f3a9c21e0b4d655'";
    ByteBuf text = utf8Buffer(statement);
    Query query = Query.parse(text);
    check(
        query.workload.equals("basket")
            && query.timeoutMillis == 480
            && query.group == 2
            && query.lastCommitMillis == 1_767_225_600_123L
            && query.sessionHash != 0,
        "the fields are parsed");
    ByteBuf out = Unpooled.buffer();
    MessageEncoder.writeQuery(out, text, query.timeoutStart, query.timeoutEnd, 77);
    check(
        out.toString(5, out.readableBytes() - 6, StandardCharsets.UTF_8)
            .equals(statement.replace("d=480", "d=77")),
        "only the timeout is rewritten");
    check(out.getInt(1) == out.readableBytes() - 1, "the message length matches its content");
    for (String invalid :
        new String[] {
          "SELECT 1",
          "/* id=1,c=a,d=5 SELECT",
          "/* id=1,d=5 */",
          "/* c=a,d=5 */",
          "/* id=1,c=a */",
          "/* id=1,c=a,d=5,d=6 */",
          "/* id=1,c=a,d=-5 */",
          "/* id=1,c=a,d=99999999999999999999 */",
          "/* id=1,c=a,d=5,cluster=2147483648 */",
          "/* id=1,c=a,d=5,x */",
          "/*",
          "/* id=,c=a,d=5 */"
        }) {
      try {
        Query.parse(utf8Buffer(invalid));
        check(false, "expected rejection of: " + invalid);
      } catch (ProtocolException exception) {
        check(exception.sqlState.equals("08P01"), "the SQLSTATE is that of a protocol violation");
      }
    }
    check(
        Query.isBlank(utf8Buffer(" ;\n ")) && !Query.isBlank(utf8Buffer("/* */")),
        "only whitespace and semicolons are blank");
    check(
        "SET".equals(Query.findSessionCommand(utf8Buffer(" set x = 1")))
            && Query.findSessionCommand(utf8Buffer("SETTLE")) == null,
        "SET is a session command and SETTLE is not");
  }

  private static QueryResponse decodeResponse(ByteBuf messages) throws ProtocolException {
    MessageDecoder decoder = new MessageDecoder(1 << 16, new MemoryBudget(1 << 20));
    decoder.add(messages);
    QueryResponse response = new QueryResponse();
    for (ByteBuf m = decoder.nextMessage(); m != null; m = decoder.nextMessage()) {
      response.add(m);
    }
    decoder.release();
    return response;
  }

  /** Returns a valid single-row response with one byte replaced. */
  private static ByteBuf rowResponseWithByte(int index, int value) {
    return rowResponse("1").setByte(index, value);
  }

  @Example
  void responseIsClassifiedAsSingleRowErrorOrNeither() throws ProtocolException {
    ByteBuf row = rowResponse("7");
    MessageEncoder.writeParameterStatus(row, "caught_up_to", "1767225600123");
    MessageEncoder.writeParameterStatus(row, "part", "replica");
    QueryResponse response = decodeResponse(row);
    check(
        response.isSingleRow()
            && response.value().equals("7")
            && response.positionMillis() == 1_767_225_600_123L
            && response.role().equals("replica")
            && response.sqlState() == null,
        "a single row with its parameters is recognised");
    response.release();
    check(row.refCnt() == 0, "the input buffer is released");
    ByteBuf error = Unpooled.buffer();
    MessageEncoder.writeErrorResponse(error, "ERROR", "25006", "no primary", null);
    response = decodeResponse(error);
    check(
        !response.isSingleRow() && response.sqlState().equals("25006"),
        "an error response is recognised");
    ByteBuf rowThenError = rowResponse("7");
    MessageEncoder.writeErrorResponse(rowThenError, "ERROR", "25006", "too late", null);
    response = decodeResponse(rowThenError);
    check(
        !response.isSingleRow() && response.sqlState() == null,
        "an error after a row counts as neither");
    response.release();
    for (ByteBuf unclassifiable :
        new ByteBuf[] {
          Unpooled.buffer(),
          rowResponse("1").writeBytes(rowResponse("2")),
          Unpooled.buffer()
              .writeBytes(LoopbackCluster.rowDescription(2))
              .writeBytes(LoopbackCluster.dataRow(2, "1")),
          Unpooled.buffer().writeBytes(LoopbackCluster.dataRow(1, "1")),
          rowResponseWithByte(6, 2),
          rowResponseWithByte(10, 'x'),
          rowResponseWithByte(35, 2),
          rowResponseWithByte(39, 2),
          rowResponseWithByte(39, 0),
          rowResponseWithByte(36, 255),
          rowResponseWithByte(54, 'x'),
          rowResponseWithByte(50, 1)
        }) {
      response = decodeResponse(unclassifiable);
      check(!response.isSingleRow() && response.sqlState() == null, "neither a row nor an error");
      response.release();
    }
  }

  @Example
  void loadReportValuesAreReadByNameAndPositionsRoundedDown() {
    LoadReportFormat loadReport = new LoadReportFormat(List.of("x0", "x1", "utilization"), 0);
    double[] values = loadReport.parseValues("utilization=0.61,x0=1767225600.123, odd, x9=4,x1=1");
    Moment position =
        loadReport.positionAt(Math.nextDown(loadReport.valueAt(values, loadReport.positionIndex)));
    check(
        !position.isAfter(new Moment(1_767_225_600_123_000L))
            && position.isAfter(new Moment(1_767_225_600_122_900L)),
        "the position is rounded down");
    check(
        loadReport.valueAt(values, loadReport.utilizationIndex) == 0.61,
        "the utilization is read by its name");
    check(
        loadReport
            .positionAt(loadReport.valueAt(loadReport.parseValues("x0=soon"), 0))
            .equals(Moment.LONG_AGO),
        "a value that is not a number yields no position");
  }

  @Property(tries = 200, seed = "99", shrinking = ShrinkingMode.OFF)
  void watchResponseSplitAtAnyByteYieldsTheSameObjects(@ForAll long seed)
      throws InvalidEndpointListException {
    SplittableRandom random = new SplittableRandom(seed);
    List<String> delivered = new ArrayList<>();
    ChunkedResponseReader reader = new ChunkedResponseReader(delivered::add);
    List<String> sent = new ArrayList<>();
    StringBuilder body = new StringBuilder();
    int lines = 0;
    for (int i = random.nextInt(1, 9); i > 0; i--) {
      StringBuilder object = new StringBuilder();
      appendRandomObject(random, object, 3);
      sent.add(object.toString());
      body.append(random.nextBoolean() ? "" : "  ")
          .append(object)
          .append(random.nextBoolean() ? " " : "");
      for (int blank = random.nextInt(3); blank > 0; blank--) {
        body.append(random.nextBoolean() ? "\n" : "\r\n");
        lines++;
      }
    }
    boolean chunked = random.nextBoolean();
    StringBuilder out =
        new StringBuilder("HTTP/1.1 200 OK\r\n")
            .append(
                chunked
                    ? "Transfer-Encoding: chunked\r\n\r\n"
                    : "Content-Length: " + body.length() + "\r\n\r\n");
    for (int at = 0; chunked && at < body.length(); ) {
      int size = Math.min(body.length() - at, random.nextInt(1, 300));
      out.append(random.nextBoolean() ? "" : "00")
          .append(Integer.toHexString(size))
          .append(random.nextBoolean() ? "" : " ;more=1")
          .append("\r\n")
          .append(body, at, at + size)
          .append("\r\n");
      at += size;
    }
    out.append(chunked ? "0\r\n\r\n" : body);
    for (int at = 0; at < out.length(); ) {
      int size = Math.min(out.length() - at, random.nextInt(1, 200));
      reader.read(utf8Buffer(out.substring(at, at + size)));
      at += size;
    }
    int lineBreaks = lines;
    check(
        delivered.stream().filter(String::isEmpty).count() == lineBreaks,
        "line breaks are reported between objects only");
    delivered.removeIf(String::isEmpty);
    check(delivered.equals(sent) && reader.isComplete(), "the objects are delivered as sent");
  }

  /**
   * Appends a random multi-line JSON object whose strings contain braces, brackets and escaped
   * quotes.
   */
  private static void appendRandomObject(SplittableRandom random, StringBuilder out, int depth) {
    String[] strings = {"a", "}", "{", "]\\\"}", "\\\\", "q\\n\\\\\\\"{"};
    out.append('{');
    for (int i = random.nextInt(4); i > 0; i--) {
      out.append("\n  ".substring(0, random.nextInt(4)))
          .append('"')
          .append(strings[random.nextInt(6)])
          .append("\": ");
      if (depth > 0 && random.nextBoolean()) {
        out.append("[ ");
        appendRandomObject(random, out, depth - 1);
        out.append("\n ]");
      } else {
        out.append('"').append(strings[random.nextInt(6)]).append('"');
      }
      out.append(i > 1 ? "," : "\n\n");
    }
    out.append('}');
  }

  @Example
  void objectIsDeliveredAtItsClosingBraceAndIncompleteObjectIsNot()
      throws InvalidEndpointListException {
    List<String> delivered = new ArrayList<>();
    ChunkedResponseReader reader = new ChunkedResponseReader(delivered::add);
    reader.read(utf8Buffer("HTTP/1.1 200 OK\r\n\r\n{\n \"a\": [\n  {}\n ]\n"));
    check(delivered.isEmpty(), "line breaks within an object are not reported: " + delivered);
    reader.read(utf8Buffer("}"));
    check(
        delivered.equals(List.of("{\n \"a\": [\n  {}\n ]\n}")),
        "the object is delivered without a following line break");
    reader.read(utf8Buffer("{\"a\":"));
    check(delivered.size() == 1 && !reader.isComplete(), "an incomplete object is not delivered");
  }

  @Example
  void malformedDiscoveryResponsesAreRejected() {
    for (String malformed :
        new String[] {
          "HTTP/1.1 503 Busy\r\n",
          "SSH-2.0\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}c\r\n",
          "HTTP/1.1 200 OK\r\n\r\nabc",
          "HTTP/1.1 200 OK\r\n\r\n[1]",
          "HTTP/1.1 200 OK\r\n\r\n{}}",
          "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n",
          "HTTP/1.1 200 OK\r\nX: " + "z".repeat(9_000)
        }) {
      try {
        new ChunkedResponseReader(line -> {}).read(utf8Buffer(malformed));
        check(false, "expected rejection of: " + malformed);
      } catch (InvalidEndpointListException exception) {
        check(!exception.getMessage().isEmpty(), "the exception has a message");
      }
    }
  }

  @Example
  void endpointListUpdateIsAppliedCompletelyOrRejected() throws Exception {
    LoopbackCluster.RecordingEffects effects = new LoopbackCluster.RecordingEffects();
    StatementRouter<String> core =
        new StatementRouter<>(
            effects, LoopbackCluster.createStartValues().loadBalancerFactory(1, new Moment(0)));
    EndpointList list =
        new EndpointList(
            core, List.of("a", "b"), (endpoint, address) -> effects.calls.add(endpoint));
    String entry =
        "{\"instanceId\":\"n1\",\"hostPort\":\"127.0.0.1:5\",\"zone\":\"q\",\"cell\":1,"
            + "\"lifecycle\":\"in_service\",\"weight\":1.0,\"startedAtMs\":0,\"more\":[1,null]}";
    String template = "{\"generation\":%s,\"reset\":%s,\"instances\":[%s]}";
    list.applyUpdate(
        new Moment(0), EndpointList.parse(template.formatted("7", "true", entry)), true);
    check(
        list.generation() == 7 && effects.calls.equals(List.of("n1")), "the valid list is applied");
    for (String invalid :
        new String[] {
          template.formatted("6", "false", entry),
          template.formatted("8", "false", "4"),
          template.formatted("8", "false", entry + "," + entry.replace("127.0.0.1:5", "somewhere")),
          template.formatted("8", "false", entry.replace("\"cell\":1", "\"cell\":\"x\"")),
          "{}",
          "[]",
          "{"
        }) {
      try {
        list.applyUpdate(new Moment(0), EndpointList.parse(invalid), true);
        check(false, "expected rejection of: " + invalid);
      } catch (InvalidEndpointListException exception) {
        check(
            list.generation() == 7 && effects.calls.size() == 1,
            "no part of an invalid list is applied");
      }
    }
    list.applyUpdate(new Moment(0), EndpointList.parse(template.formatted("2", "true", "")), true);
    check(list.generation() == 2, "a complete list may restart the generation");
  }

  @Example
  void stateOfRemovedEndpointsIsDiscarded() throws Exception {
    LoopbackCluster.RecordingEffects effects = new LoopbackCluster.RecordingEffects();
    StatementRouter<String> core =
        new StatementRouter<>(
            effects, LoopbackCluster.createStartValues().loadBalancerFactory(1, new Moment(0)));
    List<Integer> endpointCounts = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      Moment now = new Moment(i * 1_000_000L);
      core.onListStarted();
      core.onEndpointListed(now, "n" + i, EndpointLifecycle.READY, 0, 0, 1, Moment.LONG_AGO);
      core.onListFinished(now, true, true);
      core.onTimerFired(now);
      endpointCounts.add(core.endpointCount());
    }
    check(
        endpointCounts.get(199) < 30 && effects.calls.contains("forget n150"),
        "removed endpoints are discarded: " + endpointCounts);
  }

  @Example
  void jsonIsParsedExactlyAndErrorsNameThePosition() throws InvalidJsonException {
    Object parsed = Json.parse(" {\"a\":[1,-2.5e3,true,null,\"\\u00e9\\n\"],\"b\":{}} ");
    check(
        parsed instanceof Map<?, ?> map
            && map.get("a").toString().equals("[1, -2.5E+3, true, null, é\n]"),
        "all kinds of values are parsed");
    check(
        Json.parse("1767225600123456789").toString().equals("1767225600123456789"),
        "no digit is lost in a large number");
    for (String malformed :
        new String[] {
          "",
          "{",
          "[1,]",
          "{\"a\"}",
          "01",
          "1e9999",
          "\"\\x\"",
          "\"\u0001\"",
          "tru",
          "1 2",
          "[".repeat(100),
          "9".repeat(100),
          "\"\\u12"
        }) {
      try {
        Json.parse(malformed);
        check(false, "expected rejection of: " + malformed);
      } catch (InvalidJsonException exception) {
        check(exception.getMessage().contains("at character"), "the exception names the position");
      }
    }
  }
}
