package basaltlever;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Generates queries that the protocol allows, and input that it does not, one fault at a time. */
public final class StatementForms {
  private static final String FIELDS = "id=%s,c=view,d=900,cluster=1";
  private static final String SELECT = "SELECT doc FROM items WHERE id = 'k'";

  /** The largest value of the protocol, in bytes. */
  private static final int MAX_VALUE_BYTES = 64 * 1024;

  /**
   * One client's input behind its startup.
   *
   * @param name the sentence of the protocol that the form keeps or breaks
   * @param bytes what the client writes
   */
  public record Form(String name, byte[] bytes) {}

  private StatementForms() {}

  /** Returns forms that must be served, each with the given id. */
  public static List<Form> sound(String id) {
    String head = "/* id=" + id + ",c=view,d=900,cluster=1 */ ";
    List<Form> forms = new ArrayList<>();
    for (String text :
        List.of(
            head + "SELECT doc FROM items WHERE id = '7f3a9c21e0b4d655'",
            head + "INSERT INTO items (id, doc) VALUES ('7f3a', '\\x9f03') RETURNING doc",
            head + "SELECT 1;",
            head + "SELECT 1 ; \n ;",
            head + "SELECT 'a;b', 'it''s', \"od;d\"\"name\", $$;'$$, $t$;$t$, E'\\';' -- ;'",
            head + "SELECT /* ; ' /* nested */ */ 1",
            head + "SELECT 'schön € 😀'",
            head + "SELECT $1, a$b$c",
            " \n" + head + "SELECT 1",
            head.replace(",cluster", ",r=1,cluster") + "SELECT 1",
            head.replace(" */", ",after=1767225600123 */") + "SELECT 1",
            head.replace(" */", ",k=5f,x1=,x2=a-b.c:d,x3='q',x4=a b,x5=é */") + "SELECT 1",
            head + "SELECT '" + "v".repeat(MAX_VALUE_BYTES) + "'",
            head + "SELECT '" + "v".repeat(MAX_VALUE_BYTES - 1) + "'''",
            head + "SELECT '\\x" + "9f".repeat(MAX_VALUE_BYTES) + "'")) {
      forms.add(new Form(text.substring(0, Math.min(text.length(), 120)), frame(text)));
    }
    return forms;
  }

  /** Returns forms that must not be served, each with the given id. */
  public static List<Form> unsound(String id) {
    List<Form> forms = new ArrayList<>();
    unsoundTexts(id).forEach(text -> forms.add(new Form("text: " + shorten(text), frame(text))));
    forms.addAll(unsoundFrames(id));
    return forms;
  }

  private static List<String> unsoundTexts(String id) {
    List<String> texts = new ArrayList<>(notOneStatement(id));
    texts.addAll(notClosed(id));
    texts.addAll(tooLargeValues(id));
    texts.addAll(withoutRequiredFields(id));
    texts.addAll(malformedFields(id));
    texts.addAll(withZeroBytes(id));
    return texts;
  }

  /** One statement per query. */
  private static List<String> notOneStatement(String id) {
    String fields = FIELDS.formatted(id);
    String head = "/* " + fields + " */ ";
    return List.of(
        head + SELECT + "; " + SELECT,
        head + SELECT + ";SELECT 2;",
        head + SELECT + "; DELETE FROM items",
        head + "; SELECT 1; SELECT 2",
        "SET x = 1; " + head + SELECT,
        head,
        head + " ; ",
        head + "-- SELECT 1",
        head + "/* SELECT 1 */");
  }

  /** What is opened is closed. */
  private static List<String> notClosed(String id) {
    String fields = FIELDS.formatted(id);
    String head = "/* " + fields + " */ ";
    return List.of(
        head + SELECT + " AND doc = 'x",
        head + SELECT + " AND \"doc = 1",
        head + SELECT + " /* x",
        head + SELECT + " AND doc = $$x",
        head + SELECT + " AND doc = $t$x$$",
        head + SELECT + " AND doc = E'x\\'",
        "/* " + fields + " " + SELECT,
        "/* " + fields + ",x=/* */ " + SELECT);
  }

  /** Values of at most 64 KiB. */
  private static List<String> tooLargeValues(String id) {
    String fields = FIELDS.formatted(id);
    String head = "/* " + fields + " */ ";
    return List.of(
        head + "SELECT '" + "v".repeat(MAX_VALUE_BYTES + 1) + "'",
        head + "SELECT '" + "v".repeat(MAX_VALUE_BYTES) + "'''",
        head + "SELECT '\\x" + "9f".repeat(MAX_VALUE_BYTES + 1) + "'",
        head + "SELECT '\\x" + "9".repeat(2 * MAX_VALUE_BYTES + 1) + "'",
        head + "SELECT $$" + "v".repeat(MAX_VALUE_BYTES + 1) + "$$",
        head + "SELECT " + "9".repeat(MAX_VALUE_BYTES + 1));
  }

  /** The comment holds names and values. */
  private static List<String> withoutRequiredFields(String id) {
    String fields = FIELDS.formatted(id);
    String head = "/* " + fields + " */ ";
    return List.of(
        SELECT,
        "-- " + fields + "\n" + SELECT,
        "/ * " + fields + " */ " + SELECT,
        head.replace("id=" + id, "x=1") + SELECT,
        head.replace("c=view", "x=1") + SELECT,
        head.replace("id=" + id, "id=" + id + " b") + SELECT,
        head.replace("id=" + id, "id='" + id + "'") + SELECT,
        head.replace("c=view", "c=") + SELECT,
        head.replace("c=view", "c=nowhere") + SELECT,
        head.replace("c=view", "c=view c=post") + SELECT,
        head.replace("d=900", "x=900") + SELECT,
        head.replace("d=900", "d=") + SELECT,
        head.replace("d=900", "d=-900") + SELECT,
        head.replace("d=900", "d=9e2") + SELECT,
        head.replace("d=900", "d=900,d=901") + SELECT,
        head.replace("d=900", "d=99999999999999999999") + SELECT);
  }

  /** The values are numbers where the protocol says so, and plain words. */
  private static List<String> malformedFields(String id) {
    String fields = FIELDS.formatted(id);
    String head = "/* " + fields + " */ ";
    return List.of(
        head.replace("cluster=1", "cluster=one") + SELECT,
        head.replace("cluster=1", "cluster=4294967297") + SELECT,
        head.replace("cluster=1", "cluster=1,after=x") + SELECT,
        head.replace("cluster=1", "cluster=1,r=x") + SELECT,
        head.replace("cluster=1", "cluster=1,") + SELECT,
        head.replace("cluster=1", "cluster=1,,k=1") + SELECT,
        head.replace("cluster=1", "cluster=1,k") + SELECT,
        head.replace("cluster=1", "cluster=1,=k") + SELECT,
        head.replace("cluster=1", "cluster=1,k b=1") + SELECT,
        head.replace("cluster=1", "cluster=1,'k'=1") + SELECT,
        head.replace("cluster=1", "cluster=1,k=\u0001") + SELECT,
        head.replace("cluster=1", "cluster=1,r='1'") + SELECT,
        "\u0001" + head + SELECT,
        head.replace("cluster=1", "cluster=1\u0002") + SELECT);
  }

  /** A query is one string. */
  private static List<String> withZeroBytes(String id) {
    String head = "/* " + FIELDS.formatted(id) + " */ ";
    List<String> texts = new ArrayList<>();
    for (int at : new int[] {0, 1, 8, head.length() - 1, head.length(), head.length() + 9}) {
      texts.add(insertZero(head + SELECT, at));
    }
    texts.add(head + SELECT + "\0");
    texts.add(head + SELECT + "\0\0\0\0");
    texts.add(head + SELECT + "\0" + head + SELECT);
    texts.add(head + SELECT + "\0; DROP TABLE items");
    texts.add("\0" + "\0".repeat(40));
    return texts;
  }

  private static String insertZero(String text, int at) {
    return text.substring(0, at) + "\0" + text.substring(at);
  }

  private static List<Form> unsoundFrames(String id) {
    String text = "/* id=" + id + ",c=view,d=900,cluster=1 */ SELECT doc FROM items";
    List<Form> forms = new ArrayList<>();
    byte[] next = frame("/* id=" + id + "n,c=view,d=900,cluster=1 */ SELECT doc FROM items");
    for (int more : new int[] {1, 2, 3, 4, 5, 6, 40, next.length}) {
      // The frame is longer than its text, and the next message makes up the rest.
      forms.add(new Form("frame longer by " + more, join(frameOf(text, more), next)));
    }
    for (int fewer : new int[] {1, 2, 5, 9, 20, text.length()}) {
      forms.add(new Form("frame shorter by " + fewer, frameOf(text, -fewer)));
    }
    byte[] frame = frame(text);
    for (int type : new int[] {0, 'q', 'X' + 32, 'P', 'F', 'z'}) {
      byte[] otherType = frame.clone();
      otherType[0] = (byte) type;
      forms.add(new Form("type " + type, otherType));
    }
    byte[] withoutEnd = frame.clone();
    withoutEnd[frame.length - 1] = ' ';
    forms.add(new Form("no zero byte", withoutEnd));
    byte[] invalidText = frame.clone();
    invalidText[frame.length - 2] = (byte) 0xff;
    forms.add(new Form("invalid UTF-8", invalidText));
    byte[] overlong = frame.clone();
    overlong[frame.length - 3] = (byte) 0xc0;
    overlong[frame.length - 2] = (byte) 0x80;
    forms.add(new Form("a zero byte in overlong UTF-8", overlong));
    forms.add(new Form("negative length", frameOf(text, -text.length() - 20)));
    return forms;
  }

  private static byte[] frame(String text) {
    return frameOf(text, 0);
  }

  private static byte[] frameOf(String text, int lengthError) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    ByteBuf out = Unpooled.buffer(bytes.length + 6);
    out.writeByte('Q').writeInt(bytes.length + 5 + lengthError).writeBytes(bytes).writeByte(0);
    return ByteBufUtil.getBytes(out);
  }

  private static byte[] join(byte[] first, byte[] second) {
    return ByteBufUtil.getBytes(Unpooled.wrappedBuffer(first, second));
  }

  private static String shorten(String text) {
    return text.length() <= 160 ? text : text.substring(0, 160) + "... " + text.length();
  }
}
