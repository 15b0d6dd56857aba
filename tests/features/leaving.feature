Feature: A server that is leaving receives no new work after a few seconds

  Scenario Outline: A node tells that it leaves
    Given 30 nodes that know each other
    When one of them tells that it leaves while <failure>
    Then 5 s later no node that it can reach gives it new work

    Examples:
      | failure                                        |
      | nothing fails                                  |
      | a third of the nodes are frozen                |
      | a third of the nodes are killed                |
      | it is cut off from a third of the nodes        |
      | a third are frozen and a third are killed      |

  Scenario Outline: Whoever has not heard of it is refused at once
    Given two entry nodes, two targets and a store
    When <target> <how> while <failure>
    Then new work runs at the other target only
    And the session is the one on record

    Examples:
      | target    | how                  | failure           |
      | prenota-1 | leaves               | nothing fails     |
      | prenota-1 | leaves               | the store is down |
      | prenota-2 | says that it drains  | nothing fails     |
      | prenota-2 | says that it drains  | the store is slow |

  Scenario: The weak variant "leaving is not told and not refused" is caught
    Given two entry nodes, two targets and a store
    When prenota-1 leaves without a word while nothing fails
    Then new work still runs there
