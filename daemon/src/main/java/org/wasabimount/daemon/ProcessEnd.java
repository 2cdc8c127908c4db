package org.wasabimount.daemon;

/** Ends the process when it can't go on, so that it is started again instead of staying up without an answer. */
public final class ProcessEnd {

    private static final System.Logger LOG = System.getLogger("wasabimount.process");

    private ProcessEnd() {}

    /**
     * Logs why the process can't go on, and ends it.
     *
     * @param status the exit status
     * @param reason the reason for the log
     * @param cause the error
     */
    public static void halt(int status, String reason, Throwable cause) {
        try {
            LOG.log(System.Logger.Level.ERROR, reason, cause);
            LogSetup.flush();
        } finally {
            // Without memory the log line may fail, too.
            Runtime.getRuntime().halt(status);
        }
    }

    /** Makes an exception that ends any thread end the process, with {@link Wasabimount#EXIT_THREAD_FAILED}. */
    public static void haltOnUncaughtException() {
        Thread.setDefaultUncaughtExceptionHandler((thread, error) -> halt(
                Wasabimount.EXIT_THREAD_FAILED,
                "PROCESS stops: its thread " + thread.getName() + " has failed",
                error));
    }
}
