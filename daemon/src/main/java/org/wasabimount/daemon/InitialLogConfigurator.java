package org.wasabimount.daemon;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.LayoutBase;
import ch.qos.logback.core.encoder.LayoutWrappingEncoder;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Writes warnings and errors to standard error, for programs that do not call {@link LogSetup#apply} and until they do.
 *
 * <p>The log library finds this class as a service. Without one it looks for an XML file, and parsing that takes a tenth
 * of the processor time in which a node starts.
 */
public final class InitialLogConfigurator extends ContextAwareBase implements Configurator {

    @Override
    public ExecutionStatus configure(LoggerContext loggerContext) {
        LineLayout layout = new LineLayout();
        layout.setContext(loggerContext);
        layout.start();
        LayoutWrappingEncoder<ILoggingEvent> encoder = new LayoutWrappingEncoder<>();
        encoder.setContext(loggerContext);
        encoder.setLayout(layout);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(loggerContext);
        appender.setTarget("System.err");
        appender.setEncoder(encoder);
        appender.start();
        loggerContext.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).setLevel(Level.WARN);
        loggerContext.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).addAppender(appender);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /** A line with level and message, and the stack trace if there is one. */
    private static final class LineLayout extends LayoutBase<ILoggingEvent> {

        @Override
        public String doLayout(ILoggingEvent event) {
            String end = System.lineSeparator();
            String stackTrace = event.getThrowableProxy() == null
                    ? ""
                    : ThrowableProxyUtil.asString(event.getThrowableProxy()) + end;
            return event.getLevel() + " " + event.getFormattedMessage() + end + stackTrace;
        }
    }
}
