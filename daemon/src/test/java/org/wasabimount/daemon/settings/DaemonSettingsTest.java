package org.wasabimount.daemon.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Valid settings files are accepted; errors in invalid ones are reported with line and key. */
public class DaemonSettingsTest {

    private static final String HASH = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
    private static final String VALID_SETTINGS = """
            vm: glasgow-1
            domain: glasgow
            httpAddress: 10.0.0.1:8100
            peerAddress: 10.0.0.1:7100
            dataFolder: /var/lib/wasabimount
            domains: [glasgow, edinburgh]
            cellVoters: [glasgow-1]
            ledgerVoters:
              glasgow: [glasgow-1]
              edinburgh: [edinburgh-1]
            peers:
              - {vm: edinburgh-1, domain: edinburgh, address: "10.0.1.1:7100"}
            adminSecretHash: HASH
            platformSecretHash: HASH
            electionTimeoutMillis: 500
            """.replace("HASH", HASH);

    @Test
    public void acceptsValidFile() throws SettingsException {
        DaemonSettings settings = DaemonSettings.parse(VALID_SETTINGS);
        assertEquals(settings.vm().name(), "glasgow-1");
        assertEquals(settings.limits().electionTimeoutMillis(), 500);
        assertEquals(settings.peers().size(), 1);
    }

    @DataProvider
    public Object[][] invalidFiles() {
        return new Object[][] {
            {"vm: glasgow-1", "vm: Glasgow", "line 1: vm: "},
            {"domain: glasgow", "domain: dundee", "line 2: domain: \"dundee\" is not one of domains"},
            {"10.0.0.1:8100", "localhost:8100", "line 3: httpAddress: must be an IP number"},
            {"10.0.0.1:7100", "10.0.0.1:70000", "line 4: peerAddress: must have a port"},
            {
                "electionTimeoutMillis: 500",
                "electionTimeout: 500",
                "line 15: electionTimeout: is not a known key; the key with its unit is \"electionTimeoutMillis\""
            },
            {"electionTimeoutMillis: 500", "electionTimeoutMillis: soon", "line 15: electionTimeoutMillis: must be a"},
            {"electionTimeoutMillis: 500", "electionTimeoutMillis: 5", "line 15: electionTimeoutMillis: must be from"},
            {"electionTimeoutMillis: 500", "colour: red", "line 15: colour: is not a known key"},
            {"electionTimeoutMillis: 500", "vm: other", "line 15: vm: is a duplicate key"},
            {"cellVoters: [glasgow-1]", "cellVoters: [perth-1]", "line 7: cellVoters: \"perth-1\" is neither"},
            {"cellVoters: [glasgow-1]", "cellVoters: glasgow-1", "line 7: cellVoters: must be a list"},
            {"  edinburgh: [edinburgh-1]\n", "", "line 9: ledgerVoters.edinburgh: is missing"},
            {"dataFolder: /var/lib/wasabimount\n", "", "dataFolder: is missing, but a VM that is a voter requires it"},
            {"adminSecretHash: " + HASH, "adminSecretHash: secret", "adminSecretHash: must be 64 hexadecimal"},
            {"address: \"10.0.1.1:7100\"", "port: 7100", "line 12: peers[0].port: is not a known key"},
            {"vm: glasgow-1", "vm: [", "file: is not valid YAML"},
        };
    }

    @Test(dataProvider = "invalidFiles")
    public void reportsErrorWithLineAndKey(String validText, String invalidText, String message) {
        SettingsException thrown = expectThrows(
                SettingsException.class,
                () -> DaemonSettings.parse(VALID_SETTINGS.replaceFirst(
                        java.util.regex.Pattern.quote(validText),
                        java.util.regex.Matcher.quoteReplacement(invalidText))));
        assertTrue(thrown.getMessage().contains(message), thrown.getMessage());
    }

    @Test
    public void rejectsEmptyFile() {
        SettingsException thrown = expectThrows(SettingsException.class, () -> DaemonSettings.parse(""));
        assertEquals(thrown.getMessage(), "line 1: file: is empty");
    }
}
