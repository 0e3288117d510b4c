package basaltlever.cli;

import java.io.File;
import java.lang.reflect.InvocationTargetException;
import java.net.MalformedURLException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The libraries that only the operator's file needs stand in {@code lib/operator}, off the jar's
 * class path: there each would cost every router a descriptor and memory. What needs them starts
 * the command line anew on top of both.
 */
final class OperatorLibraries {
  private static final String ONE_OF_THEM = "org.apache.commons.configuration2.INIConfiguration";

  private OperatorLibraries() {}

  static boolean areHere() {
    try {
      Class.forName(ONE_OF_THEM, false, OperatorLibraries.class.getClassLoader());
      return true;
    } catch (ClassNotFoundException e) {
      return false;
    }
  }

  /** Runs the command line again with the libraries beside the jar. */
  static void mainWith(String[] args) throws InterruptedException {
    try {
      Path jar =
          Path.of(
              OperatorLibraries.class.getProtectionDomain().getCodeSource().getLocation().toURI());
      List<URL> urls = new ArrayList<>(List.of(jar.toUri().toURL()));
      for (String folder : new String[] {"lib", "lib/operator"}) {
        File[] files =
            jar.resolveSibling(folder).toFile().listFiles((in, name) -> name.endsWith(".jar"));
        for (File file : files == null ? new File[0] : files) {
          urls.add(file.toURI().toURL());
        }
      }
      // Never closed: it lives as long as the process.
      URLClassLoader loader =
          new URLClassLoader(urls.toArray(URL[]::new), ClassLoader.getPlatformClassLoader());
      Thread.currentThread().setContextClassLoader(loader);
      Class<?> main = loader.loadClass(Main.class.getName());
      if (loader.getResource(ONE_OF_THEM.replace('.', '/') + ".class") == null) {
        System.err.println(
            "basaltlever: the libraries in lib/operator beside " + jar + " are missing");
        System.exit(2);
      }
      main.getMethod("main", String[].class).invoke(null, (Object) args);
    } catch (InvocationTargetException fault) {
      throw new IllegalStateException(fault.getCause());
    } catch (ReflectiveOperationException
        | MalformedURLException
        | java.net.URISyntaxException fault) {
      throw new IllegalStateException(fault);
    }
  }
}
