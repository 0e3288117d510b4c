package basaltlever.discovery;

/** Receives the text of a JSON object, which may turn out to be invalid. */
@FunctionalInterface
interface TextSink {
  void accept(String text) throws InvalidEndpointListException;
}
