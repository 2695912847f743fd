import java.nio.file.Files;
import java.nio.file.Path;

/** Runs one case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
final class Case {
    /** What a case does; returns the exit code. */
    interface Body {
        int play(Path root, Path temporary, Record record, boolean trouble) throws Exception;
    }

    private static final long LIMIT_MILLIS = 115_000;

    private Case() {}

    static void run(String[] args, Body body) {
        int code = 2;
        Path root = Path.of(args[0]).toAbsolutePath();
        Path folder = Path.of(args[1]).toAbsolutePath();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Replica.start("limit", () -> {
            try {
                Thread.sleep(LIMIT_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            System.err.println("the case took too long");
            System.exit(2);
        });
        try (Record record = new Record(folder.resolve("record.txt"))) {
            record.line(trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
            code = body.play(root, Files.createTempDirectory("case"), record, trouble);
            record.line("exit %d", code);
        } catch (Throwable e) {
            e.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }
}
