Feature: A planned stop cuts no request in progress

  Scenario Outline: A target's node stops while a request runs
    Given a request in progress at prenota-1 and <failure>
    When its node stops as planned
    Then the request is answered whole
    And the node ends after that
    And the session is the one on record

    Examples:
      | failure                       |
      | nothing fails                 |
      | the store is down             |
      | the server drains             |
      | a second request is cut       |

  Scenario: The weak variant "stop without draining" is caught
    Given a request in progress at prenota-1 and nothing fails
    When its node stops without draining
    Then the request is cut
