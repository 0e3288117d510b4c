package basaltlever.discovery;

/** Receives the text of a JSON object and throws if it is invalid. */
@FunctionalInterface
interface TextSink {
  void accept(String text) throws InvalidEndpointListException;
}
