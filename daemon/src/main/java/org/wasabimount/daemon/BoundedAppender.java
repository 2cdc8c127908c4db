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
 * Hands log lines to a thread of their own, within a budget and without ever waiting for it.
 *
 * <p>Lines over the budget, and lines that find the queue full, are left out and counted; the counts are logged.
 */
final class BoundedAppender extends AsyncAppender {

    /** Most lines of one kind in a second: three times the decisions of a leader under the heaviest burst measured. */
    private static final int LINES_PER_SECOND = 400;

    /** Lines that may wait to be written; some seconds of a leader's usual volume. */
    private static final int QUEUE_LINES = 1_024;

    /** Longest wait at the end of the process for lines that are still queued, in milliseconds. */
    private static final int FLUSH_MILLIS = 200;

    private final LogBudget budget = new LogBudget(LINES_PER_SECOND);
    private final AtomicLong dropped = new AtomicLong();

    BoundedAppender() {
        setQueueSize(QUEUE_LINES);
        setNeverBlock(true);
        // Lines are left out by kind and counted here, not by the library's own rule.
        setDiscardingThreshold(0);
        setMaxFlushTime(FLUSH_MILLIS);
    }

    @Override
    protected void append(ILoggingEvent event) {
        report(budget.leftOut(event.getTimeStamp()));
        if (!budget.take(event.getFormattedMessage())) {
            return;
        }
        if (getRemainingCapacity() == 0) {
            dropped.incrementAndGet();
        }
        super.append(event);
    }

    private void report(Map<String, Integer> leftOut) {
        leftOut.forEach((kind, lines) -> warn("LOG left out kind=\"" + kind + "\" lines=" + lines));
        long lost = dropped.getAndSet(0);
        if (lost > 0) {
            warn("LOG queue full lines=" + lost);
        }
    }

    /** Queues a line directly: an appender ignores what is logged while it appends. */
    private void warn(String message) {
        Logger logger = ((LoggerContext) getContext()).getLogger("wasabimount.log");
        super.append(new LoggingEvent(BoundedAppender.class.getName(), logger, Level.WARN, message, null, null));
    }
}
