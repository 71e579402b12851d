# waxwing_package(NAME DEPENDENCY...): adds the static library "wx_NAME" from
# packages/NAME/src/*.c, with public headers in packages/NAME/include, and a test
# program for each packages/NAME/tests/t[0-9]*.c.
function(waxwing_package name)
  set(dir ${CMAKE_SOURCE_DIR}/packages/${name})
  file(GLOB sources CONFIGURE_DEPENDS ${dir}/src/*.c ${dir}/src/generated/*.c)
  add_library(wx_${name} STATIC ${sources})
  target_include_directories(wx_${name} PUBLIC ${dir}/include PRIVATE ${dir}/src)
  set(deps "")
  foreach(dep ${ARGN})
    # A package that has only headers has no library.
    if(TARGET wx_${dep})
      list(APPEND deps wx_${dep})
    else()
      target_include_directories(
        wx_${name} PUBLIC ${CMAKE_SOURCE_DIR}/packages/${dep}/include)
    endif()
  endforeach()
  target_link_libraries(wx_${name} PUBLIC ${deps} PkgConfig::DEPS m)
  waxwing_package_tests(${name} ${dir}/tests wx_${name})
endfunction()

# waxwing_package_tests(NAME DIR LIBRARY...): adds a test program for each
# DIR/t[0-9]*.c, linked with the libraries.
function(waxwing_package_tests name dir)
  if(WITH_FUZZERS OR NOT WITH_TESTS)
    return()
  endif()
  file(GLOB tests CONFIGURE_DEPENDS ${dir}/t[0-9]*.c)
  foreach(source ${tests})
    get_filename_component(test ${source} NAME_WE)
    add_executable(${test} ${source})
    # Tests of several packages use the test HTTP server of packages/http.
    target_include_directories(${test} PRIVATE ${dir}
                               ${CMAKE_SOURCE_DIR}/packages/http/tests)
    target_link_libraries(${test} PRIVATE ${ARGN} PkgConfig::CMOCKA)
    add_test(NAME ${name}/${test} COMMAND ${test}
             WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  endforeach()
endfunction()
