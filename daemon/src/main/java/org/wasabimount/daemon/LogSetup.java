package org.wasabimount.daemon;

import java.nio.charset.StandardCharsets;

import org.slf4j.LoggerFactory;
import org.wasabimount.daemon.settings.DaemonSettings;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.encoder.EncoderBase;

/** Configures the log library from the settings. */
public final class LogSetup {

    private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX,UTC} %-5level %msg%n";

    private LogSetup() {}

    /**
     * Configures the log library.
     *
     * @param logging the level and format of log lines
     */
    public static void apply(DaemonSettings.Logging logging) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setEncoder(encoder(context, logging.format()));
        appender.start();
        BoundedAppender bounded = new BoundedAppender();
        bounded.setContext(context);
        bounded.addAppender(appender);
        bounded.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.WARN);
        root.addAppender(bounded);
        context.getLogger("wasabimount").setLevel(level(logging.level()));
    }

    /** Writes the lines that are still queued and stops the log library; called right before the process ends. */
    public static synchronized void flush() {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
    }

    private static Encoder<ILoggingEvent> encoder(LoggerContext context, DaemonSettings.LogFormat format) {
        EncoderBase<ILoggingEvent> encoder = switch (format) {
            case JSON -> json();
            case PLAIN -> {
                PatternLayoutEncoder plain = new PatternLayoutEncoder();
                plain.setPattern(PATTERN);
                plain.setCharset(StandardCharsets.UTF_8);
                yield plain;
            }
        };
        encoder.setContext(context);
        encoder.start();
        return encoder;
    }

    /** Creates an encoder that writes a line's time, level, logger and message, without the library's other fields. */
    private static JsonEncoder json() {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithThreadName(false);
        encoder.setWithContext(false);
        encoder.setWithMarkers(false);
        encoder.setWithMDC(false);
        encoder.setWithMessage(false);
        encoder.setWithArguments(false);
        encoder.setWithFormattedMessage(true);
        return encoder;
    }

    private static Level level(DaemonSettings.LogLevel level) {
        return switch (level) {
            case DEBUG -> Level.DEBUG;
            case INFO -> Level.INFO;
            case WARNING -> Level.WARN;
            case ERROR -> Level.ERROR;
        };
    }
}
