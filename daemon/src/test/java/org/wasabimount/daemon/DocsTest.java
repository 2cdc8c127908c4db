package org.wasabimount.daemon;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.testng.annotations.Test;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.cell.ConfigurationKey;
import org.wasabimount.core.dispatch.AdviceOutcome;
import org.wasabimount.core.dispatch.IdleReason;
import org.wasabimount.core.dispatch.WaitReason;
import org.wasabimount.daemon.metrics.NodeMetrics;
import org.wasabimount.daemon.settings.NodeSettingsFile;
import org.wasabimount.daemon.settings.SettingKey;

/** Tests that the tables in docs match the code. */
public class DocsTest {

    private static final Path DOCS = Path.of("..", "docs");

    @Test
    public void resultCodesAreDocumented() throws IOException {
        String text = Files.readString(DOCS.resolve("RESULT-CODES.md"));
        for (ResultCode code : ResultCode.values()) {
            String row = "| " + code.number() + " | " + code.name() + " | " + code.httpStatus() + " | "
                    + code.outcome().name() + " | " + (code.retryable() ? "yes" : "no") + " |";
            assertDocumented(text, row, "docs/RESULT-CODES.md");
        }
    }

    @Test
    public void settingsAreDocumented() throws IOException {
        String text = Files.readString(DOCS.resolve("SETTINGS.md"));
        for (SettingKey key : SettingKey.values()) {
            String row = "| `" + key.text() + "` | " + key.allowedValues() + " | " + key.defaultText() + " |";
            assertDocumented(text, row, "docs/SETTINGS.md");
        }
    }

    @Test
    public void configurationIsDocumented() throws IOException {
        String text = Files.readString(DOCS.resolve("SETTINGS.md"));
        for (ConfigurationKey key : ConfigurationKey.values()) {
            String row = "| `" + key.text() + "` | " + key.min() + " to " + key.max() + " " + key.unit() + " | "
                    + key.defaultValue() + " |";
            assertDocumented(text, row, "docs/SETTINGS.md");
        }
    }

    @Test
    public void settingsOfNodesAreDocumented() throws IOException {
        String text = Files.readString(DOCS.resolve("SETTINGS.md"));
        for (NodeSettingsFile.Key key : NodeSettingsFile.Key.values()) {
            String row = "| `" + key.text() + "` | " + key.allowedValues() + " | " + key.defaultText() + " |";
            assertDocumented(text, row, "docs/SETTINGS.md");
        }
    }

    @Test
    public void metricsOfNodesAreDocumented() throws IOException {
        String page = Files.readString(DOCS.resolve("METRICS.md"));
        String nodes = page.substring(page.indexOf("## Nodes that run jobs"));
        String exported = new String(new NodeMetrics().text(), StandardCharsets.UTF_8);
        List<String> names = exported.lines()
                .filter(line -> line.startsWith("# TYPE "))
                .map(line -> line.split(" ")[2])
                .toList();
        assertTrue(names.contains("wasabimount_advice_calls_total"), "unexpected names: " + names);
        for (String name : names) {
            assertTrue(
                    nodes.contains("`" + name + "`") || nodes.contains("`" + name + "{"),
                    "docs/METRICS.md lacks " + name);
        }
    }

    @Test
    public void adviceOutcomesAreDocumented() throws IOException {
        String text = Files.readString(DOCS.resolve("METRICS.md"));
        for (AdviceOutcome outcome : AdviceOutcome.values()) {
            String retry = outcome.answered() ? "" : outcome.retryable() ? " may succeed" : " fails again";
            assertTrue(
                    text.lines()
                            .anyMatch(line -> line.startsWith("| `" + outcome.name() + "` | ")
                                    && line.endsWith(" |" + retry + " |")),
                    "docs/METRICS.md lacks the outcome " + outcome);
        }
    }

    @Test
    public void waitReasonsAreDocumented() throws IOException {
        String text = Files.readString(DOCS.resolve("METRICS.md"));
        for (WaitReason reason : WaitReason.values()) {
            assertTrue(
                    text.lines().anyMatch(line -> line.startsWith("| `" + reason.label() + "` | ")),
                    "docs/METRICS.md lacks the reason " + reason);
        }
    }

    /** Guards against a reason in metrics and lines that operators can't look up. */
    @Test
    public void idleReasonsAreDocumented() throws IOException {
        String text = Files.readString(DOCS.resolve("METRICS.md"));
        String table = text.substring(text.indexOf("| idle reason | meaning |"));
        for (IdleReason reason : IdleReason.values()) {
            assertTrue(
                    table.lines().anyMatch(line -> line.startsWith("| `" + reason.label() + "` | ")),
                    "docs/METRICS.md lacks the idle reason " + reason);
        }
    }

    /** Asserts that the row exists and that its last column describes the entry in one sentence. */
    private static void assertDocumented(String text, String row, String file) {
        Optional<String> line =
                text.lines().filter(docLine -> docLine.startsWith(row)).findFirst();
        assertTrue(line.isPresent(), file + " lacks the row: " + row);
        String meaning = line.get().substring(row.length()).trim();
        assertTrue(meaning.matches("[A-Z].*\\. \\|"), file + " does not describe in one sentence: " + line.get());
    }
}
