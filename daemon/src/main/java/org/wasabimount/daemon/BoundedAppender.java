package org.wasabimount.daemon;

import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;

/**
 * Passes log lines to a writer thread, within a budget and without blocking the caller.
 *
 * <p>Lines that exceed the budget, and lines that arrive while the queue is full, are dropped and counted; the counts
 * are logged.
 */
final class BoundedAppender extends AsyncAppender {

    /** Maximum lines of one kind per second: three times a leader's decision rate in the heaviest known burst. */
    private static final int MAX_LINES_PER_SECOND = 400;

    /** Capacity of the queue, in lines; holds several seconds of a leader's usual volume. */
    private static final int QUEUE_LINES = 1_024;

    /** Maximum time to wait for queued lines to be written when the process ends, in milliseconds. */
    private static final int FLUSH_MILLIS = 200;

    private final LogBudget budget = new LogBudget(MAX_LINES_PER_SECOND);
    private final AtomicLong dropped = new AtomicLong();

    BoundedAppender() {
        setQueueSize(QUEUE_LINES);
        setNeverBlock(true);
        // Disables the library's own rule: lines are dropped by kind and counted here.
        setDiscardingThreshold(0);
        setMaxFlushTime(FLUSH_MILLIS);
    }

    @Override
    protected void append(ILoggingEvent event) {
        report(budget.suppressedLines(event.getTimeStamp()));
        if (!budget.tryAcquire(event.getFormattedMessage())) {
            return;
        }
        if (getRemainingCapacity() == 0) {
            dropped.incrementAndGet();
        }
        super.append(event);
    }

    private void report(Map<String, Integer> suppressedLines) {
        suppressedLines.forEach((kind, lines) -> warn("LOG left out kind=\"" + kind + "\" lines=" + lines));
        long droppedLines = dropped.getAndSet(0);
        if (droppedLines > 0) {
            warn("LOG queue full lines=" + droppedLines);
        }
    }

    /** Queues a warning directly, because an appender ignores lines that are logged while it appends. */
    private void warn(String message) {
        Logger logger = ((LoggerContext) getContext()).getLogger("wasabimount.log");
        super.append(new LoggingEvent(BoundedAppender.class.getName(), logger, Level.WARN, message, null, null));
    }
}
