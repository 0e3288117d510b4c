package basaltlever;

import basaltlever.adapter.Adapter;
import basaltlever.adapter.WireFault;
import java.io.IOException;

/** The entry point: picks what stands in front of the decisions. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("usage: java -jar basaltlever.jar adapter");
            System.exit(2);
        }
        try {
            new Adapter(System.in, System.out).run();
        } catch (WireFault | IOException fault) {
            System.err.println("basaltlever: " + fault.getMessage());
            System.exit(1);
        }
    }
}
