package basaltlever.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Splits a byte stream of JSON objects into the texts of the individual objects.
 *
 * <p>An object ends with its closing brace: it may span several lines, and the last object needs no
 * line end. Optionally, the objects of a list directly within an outermost object are emitted
 * separately, each as soon as it is complete. An incomplete object is never emitted.
 */
final class JsonObjectSplitter {
  private static final int MAX_OBJECT_BYTES = 4 << 20;

  /** Depth of the elements of a list directly within the outermost object. */
  private static final int LIST_DEPTH = 2;

  private enum LexicalState {
    /** Outside a string. */
    STRUCTURE,
    STRING,
    /** After a backslash within a string. */
    ESCAPE
  }

  private final TextSink objectSink;

  /** Null if the objects of lists remain in the text of the outermost object. */
  private final TextSink entrySink;

  private final ByteArrayOutputStream objectBuffer = new ByteArrayOutputStream();
  private final ByteArrayOutputStream entryBuffer = new ByteArrayOutputStream();
  private LexicalState lexicalState = LexicalState.STRUCTURE;

  /** The number of open braces and brackets. */
  private int depth;

  /** Size of the current outermost object in bytes, including its entries. */
  private int objectBytes;

  /** Whether the last opened value directly within the outermost object is a list. */
  private boolean inList;

  private boolean inEntry;
  private boolean afterEntry;

  /**
   * Creates a splitter.
   *
   * @param objectSink receives each outermost object, and an empty text for each line end between
   *     objects
   * @param entrySink receives the objects of lists directly within the outermost object, which are
   *     then omitted from its text; null to keep them there
   */
  JsonObjectSplitter(TextSink objectSink, TextSink entrySink) {
    this.objectSink = objectSink;
    this.entrySink = entrySink;
  }

  /** Adds the next byte. */
  void add(byte next) throws InvalidEndpointListException {
    if (depth > 0 || next == '{') {
      addToObject(next);
    } else if (next == '\n') {
      objectSink.accept("");
    } else if (!isInlineWhitespace(next)) {
      throw new InvalidEndpointListException("a message of the list does not begin with an object");
    }
  }

  private void addToObject(byte next) throws InvalidEndpointListException {
    objectBytes++;
    if (objectBytes > MAX_OBJECT_BYTES) {
      throw new InvalidEndpointListException("a message of the list is too long");
    }
    inEntry |= opensEntry(next);
    if (inEntry) {
      entryBuffer.write(next);
    } else if (!isSeparatorOfEntries(next)) {
      objectBuffer.write(next);
    }
    switch (lexicalState) {
      case ESCAPE -> lexicalState = LexicalState.STRING;
      case STRING -> addToString(next);
      case STRUCTURE -> addToStructure(next);
    }
  }

  private boolean opensEntry(byte next) {
    return entrySink != null
        && lexicalState == LexicalState.STRUCTURE
        && depth == LIST_DEPTH
        && next == '{'
        && inList;
  }

  /**
   * Returns whether the byte is a comma or white space after an entry, which is omitted like the
   * entries.
   */
  private boolean isSeparatorOfEntries(byte next) {
    if (!afterEntry || lexicalState != LexicalState.STRUCTURE || depth != LIST_DEPTH) {
      return false;
    }
    afterEntry = next == ',' || next == '\n' || isInlineWhitespace(next);
    return afterEntry;
  }

  private void addToString(byte next) {
    if (next == '\\') {
      lexicalState = LexicalState.ESCAPE;
    } else if (next == '"') {
      lexicalState = LexicalState.STRUCTURE;
    }
  }

  private void addToStructure(byte next) throws InvalidEndpointListException {
    switch (next) {
      case '"' -> lexicalState = LexicalState.STRING;
      case '{', '[' -> open(next);
      case '}', ']' -> close();
      default -> {}
    }
  }

  private void open(byte next) {
    if (depth == 1) {
      inList = next == '[';
    }
    depth++;
  }

  private void close() throws InvalidEndpointListException {
    depth--;
    if (inEntry && depth == LIST_DEPTH) {
      inEntry = false;
      afterEntry = true;
      entrySink.accept(drainText(entryBuffer));
    } else if (depth == 0) {
      objectBytes = 0;
      objectSink.accept(drainText(objectBuffer));
    }
  }

  private static String drainText(ByteArrayOutputStream bytes) {
    String text = bytes.toString(StandardCharsets.UTF_8);
    bytes.reset();
    return text;
  }

  private static boolean isInlineWhitespace(byte next) {
    return next == ' ' || next == '\r' || next == '\t';
  }
}
