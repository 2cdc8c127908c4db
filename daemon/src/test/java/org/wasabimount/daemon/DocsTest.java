package org.wasabimount.daemon;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

import org.testng.annotations.Test;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.cell.ConfigurationKey;
import org.wasabimount.daemon.settings.NodeSettingsFile;
import org.wasabimount.daemon.settings.SettingKey;

/** The tables in docs and the code say the same. */
public class DocsTest {

    private static final Path DOCS = Path.of("..", "docs");

    @Test
    public void resultCodesAreDocumented() throws IOException {
        String text = Files.readString(DOCS.resolve("RESULT-CODES.md"));
        for (ResultCode code : ResultCode.values()) {
            String row = "| " + code.number() + " | " + code.name() + " | " + code.httpStatus() + " | "
                    + code.outcome().name() + " | " + (code.retryable() ? "yes" : "no") + " |";
            assertExplains(text, row, "docs/RESULT-CODES.md");
        }
    }

    @Test
    public void settingsAreDocumented() throws IOException {
        String text = Files.readString(DOCS.resolve("SETTINGS.md"));
        for (SettingKey key : SettingKey.values()) {
            String row = "| `" + key.text() + "` | " + key.allowedValues() + " | " + key.defaultText() + " |";
            assertExplains(text, row, "docs/SETTINGS.md");
        }
    }

    @Test
    public void configurationIsDocumented() throws IOException {
        String text = Files.readString(DOCS.resolve("SETTINGS.md"));
        for (ConfigurationKey key : ConfigurationKey.values()) {
            String row = "| `" + key.text() + "` | " + key.min() + " to " + key.max() + " " + key.unit() + " | "
                    + key.defaultValue() + " |";
            assertExplains(text, row, "docs/SETTINGS.md");
        }
    }

    @Test
    public void settingsOfNodesAreDocumented() throws IOException {
        String text = Files.readString(DOCS.resolve("SETTINGS.md"));
        for (NodeSettingsFile.Key key : NodeSettingsFile.Key.values()) {
            String row = "| `" + key.text() + "` | " + key.allowedValues() + " | " + key.defaultText() + " |";
            assertExplains(text, row, "docs/SETTINGS.md");
        }
    }

    /** A row has to be there, and its meaning has to be one sentence in the same line. */
    private static void assertExplains(String text, String row, String file) {
        Optional<String> line =
                text.lines().filter(each -> each.startsWith(row)).findFirst();
        assertTrue(line.isPresent(), file + " lacks the row: " + row);
        String meaning = line.get().substring(row.length()).trim();
        assertTrue(
                meaning.matches("[A-Z].*\\. \\|"), file + " does not say in one sentence what it means: " + line.get());
    }
}
