# Three gateways and six servers as processes and stand-ins, with 24 to 30 clients. Servers
# refuse requests and questions, and send copies of their answers where others are due;
# gateways are stopped gracefully.
Feature: A seeded run of the soak in which servers send copies of their answers

  # Guards against refused requests that run, and requests that run twice.
  Scenario: Copies of refusals and answers are taken for nothing else
    When the soak plays seed 8 for 6 seconds of refusals and copies
    Then no promise was broken and most requests were served
