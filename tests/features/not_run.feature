Feature: When a caller is told "not run", the request truly did not run

  Scenario Outline: Two failures hit one sending
    When every pair of failures hits <request>
    Then no promise is broken

    Examples:
      | request                 |
      | a booking with a key    |
      | a booking without a key |
      | a read                  |

  Scenario Outline: A request without a key is told the truth
    When <request> is sent while <failure>
    Then no promise is broken
    And the session is the one on record

    Examples:
      | request                 | failure                      |
      | a booking without a key | it crashes each server       |
      | a booking without a key | the server drains            |
      | a read                  | its failure domain goes down |

  Scenario Outline: The weak variant is caught
    Given the weak variant "<variant>"
    When every pair of failures hits <request> until one "had run and was told not run"
    Then the weak variant is caught

    Examples:
      | variant                  | request                 |
      | not run told after a cut | a booking with a key    |
      | not run told after a cut | a booking without a key |
      | not run told after a cut | a read                  |
      | last outcome told        | a read                  |
