Feature: The build of a deployed instance

  # Guards against a lock file whose hashes fit the files of one kind of machine only.
  Scenario Outline: The pinned libraries can be had on <machine>
    When the libraries of "deploy/runtime.lock" are fetched for <machine>
    Then each has a file whose hash is listed

    Examples:
      | machine |
      | x86_64  |
      | aarch64 |
