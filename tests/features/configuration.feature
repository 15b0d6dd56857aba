Feature: An accepted configuration is in force everywhere and never reverts

  Scenario Outline: Operators change the inventory while something fails
    Given 12 nodes that learn from a store and from each other
    When two operators race six times while <first> and <second>
    Then one of the two is accepted each time, or is told that it is not
    And no node ever went back to an older revision
    And each node has the newest accepted configuration in force

    Examples:
      | first                          | second                       |
      | nothing fails                  | nothing fails                |
      | the store is down in between   | nothing fails                |
      | the answer to a write is lost  | nothing fails                |
      | a third of the nodes freeze    | nothing fails                |
      | answers arrive late            | nothing fails                |
      | a third of the nodes are new   | nothing fails                |
      | the answer to a write is lost  | answers arrive late          |
      | the store is down in between   | a third of the nodes are new |
      | a third of the nodes freeze    | answers arrive late          |
      | the store is down in between   | a third of the nodes freeze  |
      | the answer to a write is lost  | the store is down in between |

  Scenario: The session of one race is on record
    Given 12 nodes that learn from a store and from each other
    When two operators race six times while the answer to a write is lost and nothing fails
    Then the session is the one on record

  Scenario: The weak variant "revision not compared" is caught
    Given 12 nodes that adopt whatever they are told last
    When two operators race six times while answers arrive late and nothing fails
    Then some node went back to an older revision

  Scenario: The weak variant "operators overwrite each other" is caught
    Given 12 nodes that learn from a store and from each other
    And a store whose conditions always hold
    When two operators race six times while nothing fails and nothing fails
    Then both of the two were accepted at some time
