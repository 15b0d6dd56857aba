Feature: A booking, subscription, review or package release runs at most once

  Scenario Outline: A booking with a key is sent again
    When a booking with a key is sent while <failure>
    And it is sent again at each entry node
    Then no promise is broken
    And the session is the one on record

    Examples:
      | failure                                    |
      | nothing fails                              |
      | the target's node is killed before         |
      | the connection is cut before it is handled |
      | the connection is cut after it was handled |
      | the server's connection is cut             |
      | the entry node is killed meanwhile         |
      | the entry node freezes past the deadline   |
      | the server is a straggler                  |
      | the server fails fast                      |
      | the server drains                          |
      | the store is down                          |
      | the store is slow                          |
      | a write takes effect without an answer     |
      | the lease lapses and its holder goes on    |
      | it crashes each server                     |
      | its failure domain goes down               |
      | an answer to another arrives late          |

  Scenario: Two failures hit the first two sendings of a booking with a key
    When every pair of failures hits a booking with a key
    Then no promise is broken

  Scenario: Two failures hit a booking without a key
    When every pair of failures hits a booking without a key
    Then no promise is broken

  Scenario Outline: The weak variant is caught
    Given the weak variant "<variant>"
    When every pair of failures hits <request> until one "ran more than once"
    Then the weak variant is caught

    Examples:
      | variant                          | request                 |
      | no claim                         | a booking with a key    |
      | retry on any error               | a booking with a key    |
      | retry on any error               | a booking without a key |
