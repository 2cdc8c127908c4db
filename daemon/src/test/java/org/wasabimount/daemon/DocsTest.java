package org.wasabimount.daemon;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.testng.annotations.Test;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.cell.ConfigurationKey;
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
            assertTrue(text.contains(row), "docs/RESULT-CODES.md lacks the row: " + row);
        }
    }

    @Test
    public void settingsAreDocumented() throws IOException {
        String text = Files.readString(DOCS.resolve("SETTINGS.md"));
        for (SettingKey key : SettingKey.values()) {
            String row = "| `" + key.text() + "` | " + key.form() + " | " + key.defaultText() + " |";
            assertTrue(text.contains(row), "docs/SETTINGS.md lacks the row: " + row);
        }
    }

    @Test
    public void configurationIsDocumented() throws IOException {
        String text = Files.readString(DOCS.resolve("SETTINGS.md"));
        for (ConfigurationKey key : ConfigurationKey.values()) {
            String row = "| `" + key.text() + "` | " + key.min() + " to " + key.max() + " " + key.unit() + " | "
                    + key.defaultValue() + " |";
            assertTrue(text.contains(row), "docs/SETTINGS.md lacks the row: " + row);
        }
    }
}
