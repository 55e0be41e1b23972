Feature: An operation of one key runs once
  A confirmation that runs twice is a guest's second charge.

  Scenario Outline: Repeats meet other proxies
    Given <replicas> replicas that bear the loss of <machines>
    When <proxies> proxies claim one key at the same moment
    Then at most one of them may run it
    And a later claim is told who has it

    Examples:
      | replicas | machines | proxies |
      | 3     | 1        | 2       |
      | 4     | 1        | 3       |
      | 7     | 2        | 5       |

  Scenario: The disk of a voter is lost
    Given 3 replicas that bear the loss of 1
    When 1 proxies claim one key at the same moment
    And the disk of one voter is lost and it comes back
    Then a later claim is told who has it
