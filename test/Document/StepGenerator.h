#ifndef PISTACHIOSHIFT_TEST_DOCUMENT_STEPGENERATOR_H
#define PISTACHIOSHIFT_TEST_DOCUMENT_STEPGENERATOR_H

#include <rapidcheck/gtest.h>

#include "test/Document/DocumentSupport.h"

namespace rc {

template<>
struct Arbitrary<pistachioshift::test::Step>
{
  static Gen<pistachioshift::test::Step> arbitrary()
  {
    using pistachioshift::test::Step;
    return gen::build<Step>(gen::set(&Step::kind, gen::inRange(0, 256)),
                            gen::set(&Step::section, gen::inRange(0, 256)),
                            gen::set(&Step::text, gen::inRange(0, 256)),
                            gen::set(&Step::lag, gen::inRange(0, 256)),
                            gen::set(&Step::gap, gen::inRange(0, 256)));
  }
};

}

namespace pistachioshift::test {

inline void
showValue(const Step& aStep, std::ostream& aOut)
{
  aOut << "{kind " << +aStep.kind << " section " << +aStep.section << " text "
       << +aStep.text << " lag " << +aStep.lag << " gap " << +aStep.gap << "}";
}

}

#endif
