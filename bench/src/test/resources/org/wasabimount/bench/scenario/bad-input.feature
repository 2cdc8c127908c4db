Feature: Invalid requests are refused with an error code and change nothing

  Scenario: Invalid requests
    Given a cell of three domains whose links can be cut
    And organisation "org"
    And organisation "other"
    And batch "kept" is declared
    And a worker with 2000 CPU millis
    Then these requests are refused
      | method | path             | credential  | body                                                  | code |
      | PUT    | /v1/batches/a    | org         | {"taskSize":                                          | 1001 |
      | PUT    | /v1/batches/a    | org         | []                                                    | 1001 |
      | PUT    | /v1/batches/a    | org         | {"taskCount":1}                                       | 1001 |
      | PUT    | /v1/batches/a    | org         | {"taskSize":{"cpuMillis":1},"colour":"red"}           | 1001 |
      | PUT    | /v1/batches/a    | org         | {"taskSize":{"cpuMillis":"many"}}                     | 1001 |
      | PUT    | /v1/batches/a    | org         | OVERSIZE                                              | 1002 |
      | PUT    | /v1/pets/a       | org         | {}                                                    | 1003 |
      | PUT    | /v1/batches/a    | org         | {"taskSize":{"cpuMillis":-1}}                         | 1004 |
      | PUT    | /v1/batches/a    | org         | {"taskSize":{"cpuMillis":1},"taskCount":-1}           | 1004 |
      | PUT    | /v1/batches/Aa   | org         | {"taskSize":{"cpuMillis":1}}                          | 1004 |
      | PUT    | /v1/jobs/a       | org         | {"taskSize":{"cpuMillis":2001}}                       | 1005 |
      | GET    | /nowhere         | org         |                                                       | 1006 |
      | GET    | /v1/resources    | wrong       |                                                       | 1101 |
      | GET    | /v1/resources    | none        |                                                       | 1101 |
      | GET    | /admin/status    | org         |                                                       | 1101 |
      | POST   | /platform/worker | org         | {}                                                    | 1101 |
      | GET    | /v1/batches/kept | other       |                                                       | 1102 |
      | DELETE | /v1/batches/kept | other       |                                                       | 1102 |
      | GET    | /v1/watch?fromRevision=99999 | org |                                                    | 1004 |
      | POST   | /call/echo/      | org         | KEYED                                                 | 1007 |
      | PUT    | /call/echo/      | org         | x                                                     | 1303 |
    And the resource list of "other" is empty
    And batch "kept" is found
