import java.nio.file.Files;
import java.nio.file.Path;

/** What every case does around its own run: folders, the exit code and the end of all processes. */
abstract class Case {
    final Path root;
    final Path folder;
    final Path temporary;
    final Record record;
    final Store store;

    /** Whether the disruption is played. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    Case(String[] args) throws Exception {
        root = Path.of(args[0]).toAbsolutePath();
        folder = Path.of(args[1]).toAbsolutePath();
        temporary = Files.createTempDirectory("review");
        record = new Record(folder.resolve("record.txt"));
        store = new Store();
    }

    /** Runs the case; returns whether the rule was broken. */
    abstract boolean run() throws Exception;

    Daemon daemon(String name, String zone) throws Exception {
        return new Daemon(root, temporary, name, zone, store.address());
    }

    /** Waits for a daemon; the case can't run without it. */
    void awaitReady(Daemon daemon) throws Exception {
        if (!daemon.awaitReady(25_000)) throw new IllegalStateException(daemon.name + " did not become ready");
        record.line("%s is ready", daemon.name);
    }

    void play() {
        int code = 2;
        try {
            boolean broken = run();
            record.line(broken ? "the rule was broken" : "the rule held");
            code = broken ? 1 : 0;
        } catch (Throwable e) {
            record.line("the case could not run: %s", e);
            e.printStackTrace();
        }
        // Ends the daemons by a hook, and with this process all stand-ins.
        System.exit(code);
    }
}
