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
 * Loads the libraries that only the operator's file needs. They are in {@code lib/operator} and not
 * on the jar's class path, where each would cost every router a file descriptor and memory. A
 * command that needs them runs the command line again in a class loader with the libraries of both
 * directories.
 */
final class OperatorLibraries {
  private static final String SAMPLE_CLASS = "org.apache.commons.configuration2.INIConfiguration";

  private OperatorLibraries() {}

  /** Returns whether the libraries are on the class path. */
  static boolean areLoadable() {
    try {
      Class.forName(SAMPLE_CLASS, false, OperatorLibraries.class.getClassLoader());
      return true;
    } catch (ClassNotFoundException missing) {
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
      // The class loader is never closed, as the command uses it until the process ends.
      URLClassLoader loader =
          new URLClassLoader(urls.toArray(URL[]::new), ClassLoader.getPlatformClassLoader());
      Thread.currentThread().setContextClassLoader(loader);
      Class<?> main = loader.loadClass(Main.class.getName());
      if (loader.getResource(SAMPLE_CLASS.replace('.', '/') + ".class") == null) {
        System.err.println(
            "basaltlever: the libraries in lib/operator beside " + jar + " are missing");
        System.exit(ExitCode.MISUSED);
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
