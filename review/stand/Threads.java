/** Starts threads that end with the process; what ends a connection ends its thread quietly. */
final class Threads {
    interface Work {
        void run() throws Exception;
    }

    private Threads() {
    }

    static Thread start(String name, Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (java.io.IOException | InterruptedException e) {
                // The other side has ended the connection, or the case is over.
            } catch (Exception e) {
                e.printStackTrace();
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
