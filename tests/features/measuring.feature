Feature: Measuring the servers never costs more than its agreed budget

  Scenario Outline: Ten minutes of a server in trouble
    Given a server of 9 slots with a probe share of 0.01
    When the prober runs for 600 s while <trouble>
    Then probes cost no more than their share of slot time
    And no probe joined a full server

    Examples:
      | trouble                          |
      | nobody asks anything             |
      | probes are slow                  |
      | probes get no answer             |
      | connections are cut              |
      | no connection is accepted        |
      | it fails fast                    |
      | it drains                        |
      | every slot is busy               |
      | probes are slow and it drains    |
      | it starts anew again and again   |

  Scenario: The session of a minute is on record
    Given a server of 9 slots with a probe share of 0.01
    When the prober runs for 60 s while connections are cut
    Then the session is the one on record

  Scenario: The weak variant "probe without a budget" is caught
    Given a prober without a budget
    When the prober runs for 600 s while probes are slow and it drains
    Then probes cost more than their share of slot time
