Feature: A cell of real daemons keeps its promises under failure

  Background:
    Given a cell of three domains whose links can be cut
    And organisation "org"

  Scenario: What was acknowledged survives the kill of the leader
    Given batch "before" is declared
    When the leader is killed
    Then batch "after" can be declared
    And batch "before" is known
    When the killed daemon is started again
    Then every daemon is ready

  Scenario: A leader that is frozen past its lease decides nothing when it thaws
    Given batch "before" is declared
    When the leader is frozen
    Then batch "while-frozen" can be declared
    When the frozen daemon is thawed
    Then every daemon names the same leader
    And batch "before" is known
    And batch "while-frozen" is known

  Scenario: A leader that is cut off silently is replaced, and nothing is lost when it comes back
    Given batch "before" is declared
    When the leader is cut off
    Then batch "while-cut" can be declared
    And a write through the cut-off daemon is refused with 1401
    When the links are healed
    Then every daemon names the same leader
    And batch "while-cut" is known

  Scenario: A leader whose messages are lost in one direction is replaced
    When the leader's outgoing links are cut
    Then batch "while-cut" can be declared
    When the links are healed
    Then every daemon names the same leader
    And batch "while-cut" is known

  Scenario: A lost disk comes back as another voter, and then a second daemon is lost
    Given batch "before" is declared
    When a follower is killed and loses its disk
    Then it does not start before its folder is made
    When its folder is made anew and it is started
    Then its new identity votes
    When another daemon is killed
    Then batch "after" can be declared
    And batch "before" is known

  Scenario: A daemon that slept through hundreds of changes catches up
    When a follower is killed
    And 600 batches are declared
    And the killed daemon is started again
    Then every daemon is ready
    And every batch is known through the restarted daemon

  Scenario: Of operators who race with equal versions exactly one wins
    Given batch "raced" is declared
    When 12 operators change batch "raced" from version 1 at once through all daemons
    Then exactly 1 of them wins and the others are told 1201
    When the winner sends the same request again
    Then it is given the first result

  Scenario: A cut-off domain goes on serving requests to its own backend servers
    Given a backend server in each domain
    When the domain of a follower is cut off
    Then calls through the cut-off daemon are answered by its own backend server
    And an unrepeatable call there that is homed elsewhere is refused as not run
    When the links are healed
    Then an unrepeatable call through the cut-off daemon is answered

  Scenario: An unrepeatable request runs once although the daemon that serves it is killed
    Given a backend server in each domain that takes 1500 milliseconds
    When an unrepeatable call is sent through a follower and the follower is killed
    Then its repeat through another daemon is never answered by a second run

  Scenario: A leaving backend server gets no new work after three seconds
    Given a backend server in each domain
    When the first backend server leaves
    Then after 3 seconds it gets no new work

  Scenario: A planned stop cuts off no request
    Given a backend server in each domain that takes 300 milliseconds
    When a daemon is stopped gracefully under load
    Then no call through it was cut off or lost

  Scenario: An accepted configuration is in force everywhere and never reverts
    When the configuration is changed 3 times
    Then within 10 seconds every daemon has configuration version 3
    When a follower is killed
    And the configuration is changed 2 times
    And the killed daemon is started again
    Then every daemon is ready
    And the restarted daemon never shows a version below 5
