# One part of a prompt ends each engine that begins to answer it. Requests with it come at
# all instances, no two alike, beside sound ones that share their caller and other parts.
Feature: Parts of prompts that end the servers that answer them

  # Guards against a part that ends server after server under requests no two alike.
  Scenario Outline: A part that has ended five engines is kept from the others
    Given parts: four instances, and engines that end under a part
    When parts: sound requests come, and later fatal ones whose fatal part is <which>
    Then parts: at most three fatal requests reach servers later than all must know
    And parts: sound requests are served half as often as before

    Examples:
      | which               |
      | the second of three |
      | the first of two    |
      | by turns one of two |

  # Guards against a popular part that is blamed for engines which end by themselves.
  Scenario: No part is kept from engines that end by chance
    Given parts: four instances, and engines that end under a part
    When parts: sound requests come, and later fatal ones whose fatal part is none
    Then parts: sound requests are served half as often as before
    And parts: no request was quarantined
