Feature: A caller receives the whole answer to its own request, never another's

  Scenario Outline: Two failures hit one sending
    When every pair of failures hits <request>
    Then no promise is broken

    Examples:
      | request                 |
      | a booking with a key    |
      | a booking without a key |
      | a read                  |

  Scenario: An answer arrives late, after its caller has gone
    When a read is sent while an answer to another arrives late
    Then no promise is broken
    And the session is the one on record

  Scenario: A connection whose answer is late carries no other request
    Given a server that answers late, on a connection that is kept
    When one caller gives up and another asks
    Then the other caller gets its own answer

  Scenario Outline: The weak variant is caught
    Given the weak variant "answer taken for another attempt"
    When every pair of failures hits <request> until one "was answered"
    Then the weak variant is caught

    Examples:
      | request                 |
      | a booking with a key    |
      | a booking without a key |
      | a read                  |

  Scenario: A sender that keeps a connection whose answer is late is caught
    Given a server that answers late, on a connection that is kept
    And the weak variant "connection reused after a late answer"
    When one caller gives up and another asks
    Then the other caller gets the answer of the first
