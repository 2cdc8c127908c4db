Feature: A cell of real daemons keeps its guarantees under failures

  Background:
    Given a cell of three domains whose links can be cut
    And organisation "org"

  Scenario: An acknowledged write survives the kill of the leader
    Given batch "before" is declared
    When the leader is killed
    Then batch "after" can be declared
    And batch "before" is found
    When the killed daemon is started again
    Then every daemon is ready

  Scenario: A leader that is suspended past its lease makes no decisions when it resumes
    Given batch "before" is declared
    When the leader is suspended
    Then batch "while-frozen" can be declared
    When the suspended daemon is resumed
    Then every daemon reports the same leader
    And batch "before" is found
    And batch "while-frozen" is found

  Scenario: A leader that is cut off silently is replaced, and nothing is lost when it comes back
    Given batch "before" is declared
    When the leader is cut off
    Then batch "while-cut" can be declared
    And a write through the cut-off daemon is refused with 1401
    When the links are healed
    Then every daemon reports the same leader
    And batch "while-cut" is found

  Scenario: A leader whose messages are lost in one direction is replaced
    When the leader's outgoing links are cut
    Then batch "while-cut" can be declared
    When the links are healed
    Then every daemon reports the same leader
    And batch "while-cut" is found

  Scenario: A daemon that lost its disk rejoins as a new voter, and then another daemon is lost
    Given batch "before" is declared
    When a follower is killed and loses its disk
    Then it refuses to start until its data folder is formatted
    When its data folder is formatted again and it is started
    Then its new replica votes in every group
    When another daemon is killed
    Then batch "after" can be declared
    And batch "before" is found

  Scenario: A daemon that was down during hundreds of changes catches up
    When a follower is killed
    And 600 batches are declared
    And the killed daemon is started again
    Then every daemon is ready
    And every batch is found through the restarted daemon

  Scenario: Of concurrent changes from the same version exactly one succeeds
    Given batch "raced" is declared
    When 12 operators change batch "raced" from version 1 at once through all daemons
    Then exactly 1 of them succeeds and the others are refused with 1201
    When the successful operator repeats its request
    Then the first result is returned

  Scenario: A cut-off domain still serves requests with its own backend servers
    Given a backend server in each domain
    When the domain of a follower is cut off
    Then calls through the cut-off daemon are served by the backend server of its domain
    And an unrepeatable call there with a key homed in another domain is refused as not run
    When the links are healed
    Then an unrepeatable call through the cut-off daemon succeeds

  Scenario: An unrepeatable request runs once even if the daemon that serves it is killed
    Given a backend server in each domain that takes 1500 milliseconds
    When an unrepeatable call is sent through a follower and the follower is killed
    Then its repeat through another daemon never succeeds and never causes a second run

  Scenario: A leaving backend server receives no new calls after three seconds
    Given a backend server in each domain
    When the first backend server leaves
    Then after 3 seconds it receives no new calls

  Scenario: A graceful stop interrupts no request
    Given a backend server in each domain that takes 300 milliseconds
    When a daemon is stopped gracefully under load
    Then no call through it was cut off or lost

  Scenario: An accepted configuration takes effect on every daemon and is never reverted
    When the configuration is changed 3 times
    Then within 10 seconds every daemon has configuration version 3
    When a follower is killed
    And the configuration is changed 2 times
    And the killed daemon is started again
    Then every daemon is ready
    And the restarted daemon never reports a version below 5
